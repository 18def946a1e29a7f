"""What batcher and claimant ask their drivers to do.

The driver of a batcher carries out ``Read``, ``Write`` and ``Delete`` on the
platform's store and reports each with ``Batcher.done``; it brings ``Settle``
back to whoever submitted the claim. The driver of a claimant carries out
``Commit`` and ``Ask`` and hands ``Conclude`` to the gate.
"""

import typing

from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_core.claims import verdicts


class Read(typing.NamedTuple):
    """Read an object of the store."""

    name: str


class Write(typing.NamedTuple):
    """Write an object if its version matches; ``None`` makes a new one."""

    name: str
    value: bytes
    if_version: str | None


class Delete(typing.NamedTuple):
    """Delete an object if its version matches; a failure does no harm."""

    name: str
    if_version: str


class Settle(typing.NamedTuple):
    """Answer whoever submitted the claim under that ticket."""

    ticket: int
    outcome: outcomes.Outcome


class Stored(typing.NamedTuple):
    """Result of a ``Read`` or ``Write`` that succeeded."""

    version: str
    value: bytes


class Commit(typing.NamedTuple):
    """Submit the claim to the batcher at that address."""

    attempt_id: str
    claim: outcomes.Claim
    batcher: str


class Release(typing.NamedTuple):
    """Submit the claim, which frees a key; nobody waits for its outcome."""

    claim: outcomes.Claim
    batcher: str


class Ask(typing.NamedTuple):
    """Ask the agent of ``holder`` what became of its attempt."""

    attempt_id: str
    holder: claim_entry.Entry


class Conclude(typing.NamedTuple):
    """Report the verdict on an attempt's claim to the gate."""

    attempt_id: str
    verdict: verdicts.Verdict


StoreCall = Read | Write | Delete
BatcherAction = StoreCall | Settle
ClaimantAction = Commit | Release | Ask | Conclude
