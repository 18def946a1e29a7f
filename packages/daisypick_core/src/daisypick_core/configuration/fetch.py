"""One fetch of a tree: what is still wanted, what has come.

Only chunks that the tree names are taken, each checked against its hash, so
a wrong answer costs time and nothing else. What has come stays useful when
the source fails and another one goes on.
"""

from collections.abc import Mapping

import msgspec

from daisypick_core.configuration import chunks
from daisypick_core.configuration import holdings as chunk_holdings
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import wire


class Fetch:
    """The chunks of one root on their way.

    Attributes:
        root: The root that is fetched.
        source: Where from.
        since: Time of the last step, seconds.
        staged: Chunks that have come.
        packs_left: Stored objects not read yet, newest last.
    """

    def __init__(
        self,
        *,
        root: root_object.Root,
        source: str,
        since: float,
        holdings: chunk_holdings.Holdings,
        staged: Mapping[str, bytes],
    ) -> None:
        self.root = root
        self.source = source
        self.since = since
        self.staged: dict[str, bytes] = {}
        self.packs_left = list(root.packs)
        self._holdings = holdings
        self._spare: dict[str, bytes] = dict(staged)
        self._wanted: set[str] = set()
        self._want(root.top)
        self._settle_wanted()

    @property
    def is_whole(self) -> bool:
        """Whether nothing is wanted any more."""
        return not self._wanted

    def next_hashes(self, limit: int) -> tuple[str, ...]:
        """Return some of the wanted hashes."""
        return tuple(sorted(self._wanted)[:limit])

    def offer(self, chunk_by_hash: Mapping[str, bytes]) -> bool:
        """Take what is wanted; return whether anything was.

        Chunks that may be wanted later are kept until the fetch ends: in the
        store, a leaf can lie in an older object than the node that names it.
        """
        before = len(self.staged)
        self._spare |= wire.keep_sound(chunk_by_hash)
        self._settle_wanted()
        return len(self.staged) > before

    def _settle_wanted(self) -> None:
        ready = self._wanted & self._spare.keys()
        while ready:
            for chunk_hash in ready:
                self._take(chunk_hash, self._spare.pop(chunk_hash))
            ready = self._wanted & self._spare.keys()

    def _take(self, chunk_hash: str, chunk: bytes) -> None:
        self._wanted.discard(chunk_hash)
        self.staged[chunk_hash] = chunk
        try:
            below = chunks.children(chunk)
        except msgspec.MsgspecError:
            # The patch will refuse the tree and say why.
            return
        for child in below:
            self._want(child)

    def _want(self, chunk_hash: str) -> None:
        is_held = self._holdings.is_live(chunk_hash)
        if is_held or chunk_hash in self.staged:
            return
        self._wanted.add(chunk_hash)
        # A chunk of a former tree is there, but what is below it may not be.
        self._spare |= self._holdings.give([chunk_hash])
