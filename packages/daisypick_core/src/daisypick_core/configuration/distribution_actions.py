"""Actions of the configuration distribution that its driver carries out.

The driver reports the results; a timeout covers a missing report:

* ``FetchRoot``: by ``receive_root``;
* ``FetchChunks`` and ``FetchPack``: by ``receive_chunks``;
* ``Notify``: by ``record_contact``, with the generation in the response.
"""

from collections.abc import Mapping
import typing

from daisypick_core.configuration import model
from daisypick_core.results import failure as failure_value

STORE = "store"
OPERATOR = "operator"


class FetchRoot(typing.NamedTuple):
    """Request the root of a source.

    Attributes:
        source: Address of a peer, ``STORE``, or ``OPERATOR`` for a one-time
            sender that accepts no requests.
        have: Hash of the top chunk held, so that a peer adds the chunks that
            differ; ``""`` to get the root alone.
    """

    source: str
    have: str


class FetchChunks(typing.NamedTuple):
    """Request chunks from a peer by hash."""

    source: str
    hashes: tuple[str, ...]


class FetchPack(typing.NamedTuple):
    """Read an object that holds chunks from the store."""

    name: str


class Notify(typing.NamedTuple):
    """Notify a peer of the generation in force here."""

    peer: str
    generation: int


class Activate(typing.NamedTuple):
    """Use a configuration from now on.

    Attributes:
        configuration: The configuration.
        changed_by_section: Names of entries added, changed or removed since
            the previous configuration.
    """

    configuration: model.Configuration
    changed_by_section: Mapping[str, frozenset[str]]


class Reject(typing.NamedTuple):
    """Log that the configuration of a source is invalid."""

    source: str
    failure: failure_value.Failure


Action = FetchRoot | FetchChunks | FetchPack | Notify | Activate | Reject
