"""Claims and a batcher's responses to them."""

import typing

from daisypick_core.claims import entry as claim_entry


class Claim(typing.NamedTuple):
    """A request to hold a key.

    Attributes:
        entry: The entry to be stored.
        replaces: An attempt that holds the key and whose agent has reported
            that it never ran and never will; ``None`` if there is none.
    """

    entry: claim_entry.Entry
    replaces: str | None = None


class Granted(typing.NamedTuple):
    """The entry is stored; only its attempt may run."""

    entry: claim_entry.Entry


class Held(typing.NamedTuple):
    """Another attempt holds the key."""

    holder: claim_entry.Entry


class KeyReused(typing.NamedTuple):
    """The key is held by a request with another fingerprint."""

    holder: claim_entry.Entry


class Unavailable(typing.NamedTuple):
    """The claim failed; whether the entry is stored is unknown."""

    reason: str


Outcome = Granted | Held | KeyReused | Unavailable
