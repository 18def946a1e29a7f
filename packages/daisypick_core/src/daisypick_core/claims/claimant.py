"""The agent's side of a claim, from the gate's wish to a verdict.

The claim goes to the shard's batcher, and if that one does not answer, to the
agent's own batcher: a claim that was stored after all is granted again. If
another attempt holds the key, its agent is asked what became of it:

* it never ran, and is barred now: the claim is made again in its place;
* it is being claimed, runs or has ended: its answer is the answer;
* its agent has restarted: nobody can know, ``OUTCOME_UNKNOWN`` for good;
* its agent does not answer, or has forgotten it: ``OUTCOME_UNKNOWN``.

Whatever is concluded stays: a grant that arrives after a refusal is ignored
here, and the gate has barred the attempt.

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

# A claim takes part in the store's answer times, not in a request's: while it
# is made, the attempt holds a slot of the backend server.
CLAIM_SECONDS = 3.0
# Times a key may change hands while one claim is made.
MAX_ROUNDS = 4


class _Pursuit(typing.NamedTuple):
    """A claim that has no verdict yet.

    Attributes:
        entry: The entry to be stored.
        replaces: Attempt that may be replaced, as its agent said.
        batcher: Address of the batcher that has the claim.
        holder: Entry whose agent is asked; ``None`` while committing.
        rounds: Times the claim was committed.
        give_up_at: Time by which a verdict is due.
    """

    entry: claim_entry.Entry
    replaces: str | None
    batcher: str
    holder: claim_entry.Entry | None
    rounds: int
    give_up_at: float


class Claimant:
    """Pursues the claims of one agent."""

    def __init__(self, *, agent: str) -> None:
        self._agent = agent
        self._agents: tuple[str, ...] = (agent,)
        self._batcher_by_shard: dict[int, str] = {}
        self._pursuit_by_attempt: dict[str, _Pursuit] = {}

    @property
    def pending_count(self) -> int:
        """Claims without a verdict."""
        return len(self._pursuit_by_attempt)

    def set_agents(
        self, agents: Iterable[str], *, agent: str | None = None
    ) -> None:
        """Take the addresses among which batchers are picked.

        ``agent`` is this agent's own address, if it is known anew.
        """
        self._agent = agent or self._agent
        self._agents = tuple({*agents, self._agent})
        self._batcher_by_shard.clear()

    def claim(
        self, attempt: attempt_message.Attempt, now: float
    ) -> list[actions.ClaimantAction]:
        """Begin to claim the key of an attempt."""
        if attempt.attempt_id in self._pursuit_by_attempt:
            return []
        entry = claim_entry.from_attempt(attempt, agent=self._agent)
        pursuit = _Pursuit(
            entry=entry,
            replaces=None,
            batcher=self._batcher(entry),
            holder=None,
            rounds=0,
            give_up_at=now + CLAIM_SECONDS,
        )
        return self._commit(pursuit)

    def release(
        self, attempt: attempt_message.Attempt
    ) -> list[actions.ClaimantAction]:
        """Give back the key of an attempt that is barred.

        It spares the next attempt the question, also when this agent has
        stopped by then. Lost on the way, it does no harm.
        """
        entry = claim_entry.from_attempt(attempt, agent=self._agent)
        free = entry._replace(attempt_id=claim_entry.RELEASED)
        claim = outcomes.Claim(entry=free, replaces=attempt.attempt_id)
        return [actions.Release(claim=claim, batcher=self._batcher(entry))]

    def committed(
        self, attempt_id: str, outcome: outcomes.Outcome, now: float
    ) -> list[actions.ClaimantAction]:
        """Note a batcher's answer to a claim."""
        del now
        pursuit = self._pursuit_by_attempt.get(attempt_id)
        if pursuit is None or pursuit.holder is not None:
            return []
        if isinstance(outcome, outcomes.Granted):
            return self._conclude(attempt_id, verdicts.Granted())
        if isinstance(outcome, outcomes.KeyReused):
            reason = "idempotency_key: was used for another request"
            verdict = verdicts.refuse(codes.KEY_REUSED, reason)
            return self._conclude(attempt_id, verdict)
        if isinstance(outcome, outcomes.Unavailable):
            return self._unavailable(attempt_id, outcome.reason)
        if pursuit.rounds >= MAX_ROUNDS:
            verdict = verdicts.SameAnswer(holder=outcome.holder)
            return self._conclude(attempt_id, verdict)
        asking = pursuit._replace(holder=outcome.holder)
        self._pursuit_by_attempt[attempt_id] = asking
        return [actions.Ask(attempt_id=attempt_id, holder=outcome.holder)]

    def batcher_failed(
        self, attempt_id: str, batcher: str, now: float
    ) -> list[actions.ClaimantAction]:
        """Note that a batcher did not answer; it may have stored the claim."""
        del now
        pursuit = self._pursuit_by_attempt.get(attempt_id)
        if pursuit is None or pursuit.holder or pursuit.batcher != batcher:
            return []
        if batcher == self._agent:
            return self._unavailable(attempt_id, "no batcher answered")
        return self._commit(pursuit._replace(batcher=self._agent))

    def answered(
        self,
        attempt_id: str,
        holder: claim_entry.Entry,
        status: attempts.AttemptStatus | None,
        now: float,
    ) -> list[actions.ClaimantAction]:
        """Note what a holder's agent said; ``None`` if it did not answer."""
        del now
        pursuit = self._pursuit_by_attempt.get(attempt_id)
        if pursuit is None or pursuit.holder != holder:
            return []
        if status is None:
            reason = "the agent that holds the key does not answer"
            return self._unknown(attempt_id, reason)
        if status.state in (attempts.GONE, attempts.FORGOTTEN):
            reason = f"the call that holds the key is {status.state}"
            return self._unknown(attempt_id, reason)
        if status.ran:
            verdict = verdicts.SameAnswer(holder=holder)
            return self._conclude(attempt_id, verdict)
        again = pursuit._replace(replaces=holder.attempt_id, holder=None)
        return self._commit(again)

    def tick(self, now: float) -> list[actions.ClaimantAction]:
        """Conclude what has had no verdict in time."""
        due: list[actions.ClaimantAction] = []
        for attempt_id, pursuit in list(self._pursuit_by_attempt.items()):
            if now < pursuit.give_up_at:
                continue
            if pursuit.holder is None:
                due += self._unavailable(attempt_id, "the claim took too long")
            else:
                reason = "the agent that holds the key does not answer"
                due += self._unknown(attempt_id, reason)
        return due

    def _batcher(self, entry: claim_entry.Entry) -> str:
        shard = claim_entry.shard_of(entry.digest)
        if shard not in self._batcher_by_shard:
            batcher = pick.batcher_of(shard, self._agents)
            self._batcher_by_shard[shard] = batcher
        return self._batcher_by_shard[shard]

    def _commit(self, pursuit: _Pursuit) -> list[actions.ClaimantAction]:
        attempt_id = pursuit.entry.attempt_id
        self._pursuit_by_attempt[attempt_id] = pursuit._replace(
            rounds=pursuit.rounds + 1
        )
        claim = outcomes.Claim(entry=pursuit.entry, replaces=pursuit.replaces)
        commit = actions.Commit(
            attempt_id=attempt_id, claim=claim, batcher=pursuit.batcher
        )
        return [commit]

    def _unavailable(
        self, attempt_id: str, reason: str
    ) -> list[actions.ClaimantAction]:
        """Conclude "not run": the gate bars the attempt.

        Its entry may be stored all the same. That is harmless: whoever finds
        it asks this agent, which says that the attempt never ran.
        """
        verdict = verdicts.refuse(codes.STORE_UNAVAILABLE, reason)
        return self._conclude(attempt_id, verdict)

    def _unknown(
        self, attempt_id: str, reason: str
    ) -> list[actions.ClaimantAction]:
        """Conclude "unknown": the attempt that holds the key may have run."""
        verdict = verdicts.refuse(codes.OUTCOME_UNKNOWN, reason)
        return self._conclude(attempt_id, verdict)

    def _conclude(
        self, attempt_id: str, verdict: verdicts.Verdict
    ) -> list[actions.ClaimantAction]:
        del self._pursuit_by_attempt[attempt_id]
        return [actions.Conclude(attempt_id=attempt_id, verdict=verdict)]
