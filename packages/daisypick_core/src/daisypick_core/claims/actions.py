"""Actions that batcher and claimant request from their drivers.

The driver of a batcher performs ``Read``, ``Write`` and ``Delete`` on the
platform's store and reports each result with ``Batcher.done``; it returns
``Settle`` to the agent that submitted the claim. The driver of a claimant
performs ``Commit`` and ``QueryHolder`` and passes ``Conclude`` to the gate.
"""

import typing

from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_core.claims import verdicts


class Read(typing.NamedTuple):
    """Read an object of the store."""

    name: str


class Write(typing.NamedTuple):
    """Write an object if its version matches; ``None`` creates a new one."""

    name: str
    value: bytes
    if_version: str | None


class Delete(typing.NamedTuple):
    """Delete an object if its version matches; a failure is harmless."""

    name: str
    if_version: str


class Settle(typing.NamedTuple):
    """Return the outcome of the claim that was submitted with that ticket."""

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
    """Submit a claim that releases a key; its outcome is not awaited."""

    claim: outcomes.Claim
    batcher: str


class QueryHolder(typing.NamedTuple):
    """Query the agent of ``holder`` for the status of its attempt."""

    attempt_id: str
    holder: claim_entry.Entry


class Conclude(typing.NamedTuple):
    """Report the verdict on an attempt's claim to the gate."""

    attempt_id: str
    verdict: verdicts.Verdict


StoreCall = Read | Write | Delete
BatcherAction = StoreCall | Settle
ClaimantAction = Commit | Release | QueryHolder | Conclude
