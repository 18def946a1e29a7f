"""The agent's side of a claim, from the gate's request to a verdict.

The claim is sent to the shard's batcher and, if that one does not respond, to
the agent's own batcher; a claim that was stored after all is granted again.
If another attempt holds the key, its agent is queried for its status:

* it never ran and is now barred: the claim is submitted again to replace it;
* it is being claimed, runs or has ended: its response is used;
* its agent has restarted: permanently ``OUTCOME_UNKNOWN``;
* its agent does not respond or has removed it: ``OUTCOME_UNKNOWN``.

A verdict is final: a grant that arrives after a refusal is ignored here, and
the gate has barred the attempt.

Every event takes ``now`` (seconds, any monotonic clock) and returns actions.
"""

from collections.abc import Iterable
import typing

from daisypick_core.claims import actions
from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import outcomes
from daisypick_core.claims import pick
from daisypick_core.claims import verdicts
from daisypick_core.gate import attempts
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes

# Deadline of a claim. It allows for the store's response times rather than a
# request's, because the attempt holds a slot of the backend server meanwhile.
CLAIM_SECONDS = 3.0
# Maximum number of times that one claim is committed. The key may pass to
# another attempt in between.
MAX_COMMITS = 4


class _PendingClaim(typing.NamedTuple):
    """A claim that has no verdict yet.

    Attributes:
        entry: The entry to be stored.
        replaces: Attempt that its agent has reported as replaceable.
        batcher: Address of the batcher that handles the claim.
        holder: Entry whose agent is queried; ``None`` while committing.
        commit_count: Number of times the claim was committed.
        expires_at: Time by which a verdict is due.
    """

    entry: claim_entry.Entry
    replaces: str | None
    batcher: str
    holder: claim_entry.Entry | None
    commit_count: int
    expires_at: float


class Claimant:
    """Tracks the claims of one agent until each has a verdict."""

    def __init__(self, *, agent: str) -> None:
        self._agent = agent
        self._agents: tuple[str, ...] = (agent,)
        self._batcher_by_shard: dict[int, str] = {}
        self._pending_by_attempt: dict[str, _PendingClaim] = {}

    @property
    def pending_count(self) -> int:
        """Number of claims without a verdict."""
        return len(self._pending_by_attempt)

    def set_agents(
        self, agents: Iterable[str], *, agent: str | None = None
    ) -> None:
        """Set the addresses among which batchers are picked.

        ``agent`` is this agent's own address, if it has changed.
        """
        self._agent = agent or self._agent
        self._agents = tuple({*agents, self._agent})
        self._batcher_by_shard.clear()

    def claim(
        self, attempt: attempt_message.Attempt, now: float
    ) -> list[actions.ClaimantAction]:
        """Start claiming the key of an attempt."""
        if attempt.attempt_id in self._pending_by_attempt:
            return []
        entry = claim_entry.from_attempt(attempt, agent=self._agent)
        pending = _PendingClaim(
            entry=entry,
            replaces=None,
            batcher=self._batcher(entry),
            holder=None,
            commit_count=0,
            expires_at=now + CLAIM_SECONDS,
        )
        return self._commit(pending)

    def release(
        self, attempt: attempt_message.Attempt
    ) -> list[actions.ClaimantAction]:
        """Release the key of an attempt that is barred.

        The next attempt then needs no status query, even if this agent has
        stopped by then. If the release is lost, the query is needed.
        """
        entry = claim_entry.from_attempt(attempt, agent=self._agent)
        free = entry._replace(attempt_id=claim_entry.RELEASED)
        claim = outcomes.Claim(entry=free, replaces=attempt.attempt_id)
        return [actions.Release(claim=claim, batcher=self._batcher(entry))]

    def release_failed(
        self, release: actions.Release
    ) -> list[actions.ClaimantAction]:
        """Handle a batcher that did not respond to a release.

        The release is submitted again to the agent's own batcher. If the
        first one has stored it, the second changes nothing.
        """
        if release.batcher == self._agent:
            return []
        return [release._replace(batcher=self._agent)]

    def committed(
        self, attempt_id: str, outcome: outcomes.Outcome, now: float
    ) -> list[actions.ClaimantAction]:
        """Handle a batcher's response to a claim."""
        del now
        pending = self._pending_by_attempt.get(attempt_id)
        if pending is None or pending.holder is not None:
            return []
        if isinstance(outcome, outcomes.Granted):
            return self._conclude(attempt_id, verdicts.Granted())
        if isinstance(outcome, outcomes.KeyReused):
            reason = "idempotency_key: was used for another request"
            verdict = verdicts.refuse(codes.KEY_REUSED, reason)
            return self._conclude(attempt_id, verdict)
        if isinstance(outcome, outcomes.Unavailable):
            return self._conclude_unavailable(attempt_id, outcome.reason)
        if pending.commit_count >= MAX_COMMITS:
            verdict = verdicts.SameAnswer(holder=outcome.holder)
            return self._conclude(attempt_id, verdict)
        querying = pending._replace(holder=outcome.holder)
        self._pending_by_attempt[attempt_id] = querying
        return [
            actions.QueryHolder(attempt_id=attempt_id, holder=outcome.holder)
        ]

    def batcher_failed(
        self, attempt_id: str, batcher: str, now: float
    ) -> list[actions.ClaimantAction]:
        """Handle a batcher that did not respond; it may have stored the claim.

        The claim is submitted again to the agent's own batcher.
        """
        del now
        pending = self._pending_by_attempt.get(attempt_id)
        if pending is None or pending.holder or pending.batcher != batcher:
            return []
        if batcher == self._agent:
            return self._conclude_unavailable(attempt_id, "no batcher answered")
        return self._commit(pending._replace(batcher=self._agent))

    def answered(
        self,
        attempt_id: str,
        holder: claim_entry.Entry,
        status: attempts.AttemptStatus | None,
        now: float,
    ) -> list[actions.ClaimantAction]:
        """Handle the status from a holder's agent, ``None`` if none came."""
        del now
        pending = self._pending_by_attempt.get(attempt_id)
        if pending is None or pending.holder != holder:
            return []
        if status is None:
            reason = "the agent that holds the key does not answer"
            return self._conclude_unknown(attempt_id, reason)
        if status.state in (attempts.GONE, attempts.FORGOTTEN):
            reason = f"the call that holds the key is {status.state}"
            return self._conclude_unknown(attempt_id, reason)
        if status.ran:
            verdict = verdicts.SameAnswer(holder=holder)
            return self._conclude(attempt_id, verdict)
        again = pending._replace(replaces=holder.attempt_id, holder=None)
        return self._commit(again)

    def tick(self, now: float) -> list[actions.ClaimantAction]:
        """Conclude claims whose deadline has passed."""
        due: list[actions.ClaimantAction] = []
        for attempt_id, pending in list(self._pending_by_attempt.items()):
            if now < pending.expires_at:
                continue
            if pending.holder is None:
                due += self._conclude_unavailable(
                    attempt_id, "the claim took too long"
                )
            else:
                reason = "the agent that holds the key does not answer"
                due += self._conclude_unknown(attempt_id, reason)
        return due

    def _batcher(self, entry: claim_entry.Entry) -> str:
        shard = claim_entry.shard_of(entry.digest)
        if shard not in self._batcher_by_shard:
            batcher = pick.batcher_of(shard, self._agents)
            self._batcher_by_shard[shard] = batcher
        return self._batcher_by_shard[shard]

    def _commit(self, pending: _PendingClaim) -> list[actions.ClaimantAction]:
        attempt_id = pending.entry.attempt_id
        self._pending_by_attempt[attempt_id] = pending._replace(
            commit_count=pending.commit_count + 1
        )
        claim = outcomes.Claim(entry=pending.entry, replaces=pending.replaces)
        commit = actions.Commit(
            attempt_id=attempt_id, claim=claim, batcher=pending.batcher
        )
        return [commit]

    def _conclude_unavailable(
        self, attempt_id: str, reason: str
    ) -> list[actions.ClaimantAction]:
        """Conclude "not run": the gate bars the attempt.

        Its entry may still be stored. That is harmless: any agent that finds
        it queries this agent, which reports that the attempt never ran.
        """
        verdict = verdicts.refuse(codes.STORE_UNAVAILABLE, reason)
        return self._conclude(attempt_id, verdict)

    def _conclude_unknown(
        self, attempt_id: str, reason: str
    ) -> list[actions.ClaimantAction]:
        """Conclude "unknown": the attempt that holds the key may have run."""
        verdict = verdicts.refuse(codes.OUTCOME_UNKNOWN, reason)
        return self._conclude(attempt_id, verdict)

    def _conclude(
        self, attempt_id: str, verdict: verdicts.Verdict
    ) -> list[actions.ClaimantAction]:
        del self._pending_by_attempt[attempt_id]
        return [actions.Conclude(attempt_id=attempt_id, verdict=verdict)]
