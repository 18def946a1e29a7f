"""What a batcher answers to a claim."""

import typing

from daisypick_core.claims import entry as claim_entry


class Claim(typing.NamedTuple):
    """A wish to hold a key.

    Attributes:
        entry: The entry to be stored.
        replaces: An attempt that held the key and, as its agent said, never
            ran and never will; ``None`` if there is none.
    """

    entry: claim_entry.Entry
    replaces: str | None = None


class Granted(typing.NamedTuple):
    """The entry is stored: its attempt alone may run."""

    entry: claim_entry.Entry


class Held(typing.NamedTuple):
    """Another attempt holds the key."""

    holder: claim_entry.Entry


class KeyReused(typing.NamedTuple):
    """The key is held by a request with another fingerprint."""

    holder: claim_entry.Entry


class Unavailable(typing.NamedTuple):
    """The store cannot be reached; the entry may be stored or not."""

    reason: str


Outcome = Granted | Held | KeyReused | Unavailable
