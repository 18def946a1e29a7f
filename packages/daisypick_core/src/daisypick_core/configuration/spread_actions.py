"""What the spread of configurations asks its driver to do.

The driver reports back: ``FetchRoot`` by ``take_root``, ``FetchChunks`` and
``FetchPack`` by ``take_chunks``, ``Notify`` by ``hear`` with the generation
in the answer. A report that never comes is made up for by a timeout.
"""

from collections.abc import Mapping
import typing

from daisypick_core.configuration import model
from daisypick_core.results import failure as failure_value

STORE = "store"
OPERATOR = "operator"


class FetchRoot(typing.NamedTuple):
    """Ask a source for its root.

    Attributes:
        source: Address of a peer, ``STORE``, or ``OPERATOR`` for one that
            cannot be asked again.
        have: Top chunk held, so that a peer adds the chunks that differ;
            ``""`` to get the root alone.
    """

    source: str
    have: str


class FetchChunks(typing.NamedTuple):
    """Ask a peer for chunks by hash."""

    source: str
    hashes: tuple[str, ...]


class FetchPack(typing.NamedTuple):
    """Read an object with chunks from the store."""

    name: str


class Notify(typing.NamedTuple):
    """Tell a peer which generation is in force here."""

    peer: str
    generation: int


class PutInForce(typing.NamedTuple):
    """Use a configuration from now on.

    Attributes:
        configuration: The configuration.
        changed_by_section: Names of entries made, changed or removed since
            the one before.
    """

    configuration: model.Configuration
    changed_by_section: Mapping[str, frozenset[str]]


class Reject(typing.NamedTuple):
    """Log that a source's configuration cannot be used."""

    source: str
    failure: failure_value.Failure


Action = FetchRoot | FetchChunks | FetchPack | Notify | PutInForce | Reject
