"""One fetch of a tree: the chunks still missing and those received.

Only chunks that the tree references are accepted, each verified against its
hash, so a wrong response delays the fetch but does no other harm. The chunks
received are reused when the source fails and the fetch continues at another.
"""

from collections.abc import Mapping

import msgspec

from daisypick_core.configuration import chunks
from daisypick_core.configuration import local_chunks
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import wire


class Fetch:
    """A fetch of the chunks of one root.

    Attributes:
        root: The root whose chunks are fetched.
        source: The source that is asked for them.
        since: Time of the last progress, seconds.
        staged: Chunks received and referenced by the tree.
        remaining_packs: Stored objects not read yet, newest last.
    """

    def __init__(
        self,
        *,
        root: root_object.Root,
        source: str,
        since: float,
        held: local_chunks.LocalChunks,
        staged: Mapping[str, bytes],
    ) -> None:
        self.root = root
        self.source = source
        self.since = since
        self.staged: dict[str, bytes] = {}
        self.remaining_packs = list(root.packs)
        self._local_chunks = held
        self._unused: dict[str, bytes] = dict(staged)
        self._wanted: set[str] = set()
        self._want(root.top)
        self._accept_wanted()

    @property
    def is_complete(self) -> bool:
        """Whether all chunks of the tree are present."""
        return not self._wanted

    def next_hashes(self, limit: int) -> tuple[str, ...]:
        """Return up to ``limit`` hashes of missing chunks."""
        return tuple(sorted(self._wanted)[:limit])

    def add_chunks(self, chunk_by_hash: Mapping[str, bytes]) -> bool:
        """Accept the missing chunks; return whether there were any.

        Chunks that may be referenced later are kept until the fetch ends: in
        the store, a leaf can be in an older object than the node that
        references it.
        """
        before = len(self.staged)
        self._unused |= wire.keep_valid(chunk_by_hash)
        self._accept_wanted()
        return len(self.staged) > before

    def _accept_wanted(self) -> None:
        ready = self._wanted & self._unused.keys()
        while ready:
            for chunk_hash in ready:
                self._accept(chunk_hash, self._unused.pop(chunk_hash))
            ready = self._wanted & self._unused.keys()

    def _accept(self, chunk_hash: str, chunk: bytes) -> None:
        self._wanted.discard(chunk_hash)
        self.staged[chunk_hash] = chunk
        try:
            below = chunks.children(chunk)
        except msgspec.MsgspecError:
            # The patch will reject the tree with a reason.
            return
        for child in below:
            self._want(child)

    def _want(self, chunk_hash: str) -> None:
        is_held = self._local_chunks.is_live(chunk_hash)
        if is_held or chunk_hash in self.staged:
            return
        self._wanted.add(chunk_hash)
        # A chunk of a former tree may be held without the chunks below it.
        self._unused |= self._local_chunks.find([chunk_hash])
