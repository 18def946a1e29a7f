"""Claims idempotency keys for the agent and commits claims of other agents.

``daisypick_core.claims`` makes the decisions; this module performs its
actions: store calls through the platform client, and claims and status
queries between agents as JSON.

* ``POST /internal/claims``: commit a claim, as the batcher of its shard.
* ``POST /internal/claims/ask``: return the status of the attempt of an entry.

Each claim waits for its verdict in a separate greenlet. The core settles
every claim within its timeout, so no greenlet waits indefinitely.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
import random
import typing

import gevent
import gevent.event
import msgspec

from daisypick_core.claims import actions
from daisypick_core.claims import batcher as core_batcher
from daisypick_core.claims import claimant as core_claimant
from daisypick_core.claims import entry as claim_entry
from daisypick_core.claims import holder as claim_holder
from daisypick_core.claims import outcomes
from daisypick_core.claims import verdicts
from daisypick_core.configuration import model
from daisypick_core.gate import actions as gate_actions
from daisypick_core.gate import attempts
from daisypick_core.gate import gate as core_gate
from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import logs
from daisypick_node.http import peers as peers_module
from daisypick_node.http import routes
from daisypick_node.platform import interface

KIND = "claims"
CLAIMS = "/internal/claims"
STATUS_QUERY = "/internal/claims/ask"

# In seconds. Below the timeout of calls between processes, so that the claimant
# receives "unavailable" instead of a timed-out call.
BATCHER_TIMEOUT = 1.5

_log = logs.PartLog("claims")


class OutcomeMessage(typing.TypedDict):
    """The wire format of an outcome: its kind and its content."""

    kind: str
    entry: typing.NotRequired[claim_entry.Entry]
    reason: typing.NotRequired[str]


class StatusMessage(typing.TypedDict):
    """The status of an attempt."""

    state: str
    ran: bool


class ClaimService:
    """The claimant and the batcher of one agent."""

    def __init__(
        self,
        *,
        name: str,
        gate: core_gate.Gate,
        platform: interface.PlatformClient,
        peers: peers_module.Peers,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._gate = gate
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._address = ""
        self._claimant = core_claimant.Claimant(agent="")
        self._batcher = core_batcher.Batcher(
            rng=rng,
            limits=core_batcher.BatcherLimits(timeout=BATCHER_TIMEOUT),
        )
        self._tickets = itertools.count()
        self._settled_by_ticket: dict[int, gevent.event.AsyncResult] = {}
        self._verdict_by_attempt: dict[str, gevent.event.AsyncResult] = {}
        self._releasing = 0
        self._perform_gate: Callable[[list[gate_actions.Action]], None] = (
            lambda due: None
        )

    def connect(
        self, perform_gate: Callable[[list[gate_actions.Action]], None]
    ) -> None:
        """Set the function that performs the gate's actions."""
        self._perform_gate = perform_gate

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Set the addresses of this agent and of all agents.

        Batchers are chosen from the configuration only, because it is the
        same in every process. An unresponsive batcher is replaced at once.
        """
        servers = configuration.backend_servers_by_name
        own = servers.get(self._name)
        if own is not None:
            self._address = own.agent
        agents = [server.agent for server in servers.values()]
        self._claimant.set_agents(agents, agent=self._address)

    def claim(self, attempt: attempt_message.Attempt) -> verdicts.Verdict:
        """Claim the key of an attempt and wait for the verdict."""
        verdict = gevent.event.AsyncResult()
        self._verdict_by_attempt[attempt.attempt_id] = verdict
        self._perform_claimant_actions(
            self._claimant.claim(attempt, self._clock())
        )
        return verdict.get()

    def release(self, attempt: attempt_message.Attempt) -> None:
        """Release the key of a withdrawn or refused attempt."""
        self._perform_claimant_actions(self._claimant.release(attempt))

    def is_idle(self) -> bool:
        """Return whether no key is being released.

        A draining agent releases the keys of its queued attempts. If it
        exited before the keys are free, the next attempt would find its key
        held by an agent that has since restarted, and its caller would be
        told that the outcome is unknown although nothing ran.
        """
        return self._releasing == 0

    def tick(self) -> None:
        """Process timeouts of the claimant and the batcher."""
        now = self._clock()
        self._perform_claimant_actions(self._claimant.tick(now))
        self._perform_batcher_actions(self._batcher.tick(now))

    def handlers(self) -> routes.Routes:
        """Return the handlers by route."""
        return {
            routes.Route("POST", CLAIMS): self._serve_claim,
            routes.Route("POST", STATUS_QUERY): self._serve_query,
        }

    def describe(self) -> dict[str, typing.Any]:
        """Return the state of the claims for a state dump."""
        return {
            "pending": self._claimant.pending_count,
            "batched": self._batcher.waiting_count,
            "shards": self._batcher.shards,
        }

    # Actions of the claimant.

    def _perform_claimant_actions(
        self, due: Iterable[actions.ClaimantAction]
    ) -> None:
        for action in due:
            if isinstance(action, actions.Conclude):
                waiter = self._verdict_by_attempt.pop(action.attempt_id)
                waiter.set(action.verdict)
            else:
                self._releasing += isinstance(action, actions.Release)
                gevent.spawn(_handler_by_action[type(action)], self, action)

    def _commit_claim(self, action: actions.Commit) -> None:
        outcome = self._submit(action.batcher, action.claim)
        now = self._clock()
        if failure_value.is_failure(outcome):
            due = self._claimant.batcher_failed(
                action.attempt_id, action.batcher, now
            )
        else:
            due = self._claimant.committed(action.attempt_id, outcome, now)
        self._perform_claimant_actions(due)

    def _release_claim(self, action: actions.Release) -> None:
        try:
            outcome = self._submit(action.batcher, action.claim)
            if failure_value.is_failure(outcome):
                _log.say(
                    "A batcher did not answer a release.",
                    attempt=action.claim.replaces,
                    reason=outcome.reason,
                )
                due = self._claimant.release_failed(action)
                self._perform_claimant_actions(due)
            elif isinstance(outcome, outcomes.Unavailable):
                _log.say(
                    "A key was not released.",
                    attempt=action.claim.replaces,
                    reason=outcome.reason,
                )
        finally:
            self._releasing -= 1

    def _query_holder(self, action: actions.QueryHolder) -> None:
        status = self._query_status(action.holder)
        self._perform_claimant_actions(
            self._claimant.answered(
                action.attempt_id, action.holder, status, self._clock()
            )
        )

    def _submit(
        self, batcher: str, claim: outcomes.Claim
    ) -> outcomes.Outcome | failure_value.Failure:
        if batcher == self._address:
            return self._submit_locally(claim)
        response = self._peers.call(batcher, "POST", CLAIMS, claim)
        message = peers_module.decode(response, OutcomeMessage)
        if failure_value.is_failure(message):
            return message
        return _from_message(message)

    def _query_status(
        self, holder: claim_entry.Entry
    ) -> attempts.AttemptStatus | None:
        if holder.agent == self._address:
            return self._find_status(holder)
        response = self._peers.call(holder.agent, "POST", STATUS_QUERY, holder)
        status = peers_module.decode(response, StatusMessage)
        if failure_value.is_failure(status):
            return None
        return attempts.AttemptStatus(**status)

    def _find_status(self, holder: claim_entry.Entry) -> attempts.AttemptStatus:
        status, due = claim_holder.answer(self._gate, holder, self._clock())
        self._perform_gate(due)
        return status

    # Actions of the batcher.

    def _submit_locally(self, claim: outcomes.Claim) -> outcomes.Outcome:
        ticket = next(self._tickets)
        settled = gevent.event.AsyncResult()
        self._settled_by_ticket[ticket] = settled
        self._perform_batcher_actions(
            self._batcher.submit(ticket, claim, self._clock())
        )
        return settled.get()

    def _perform_batcher_actions(
        self, due: Iterable[actions.BatcherAction]
    ) -> None:
        for action in due:
            if isinstance(action, actions.Settle):
                waiter = self._settled_by_ticket.pop(action.ticket)
                waiter.set(action.outcome)
            else:
                gevent.spawn(self._call_store, action)

    def _call_store(self, call: actions.StoreCall) -> None:
        result = _call_platform(call, self._platform)
        if isinstance(result, interface.StoredObject):
            result = actions.Stored(version=result.version, value=result.value)
        if result is not None:
            self._perform_batcher_actions(
                self._batcher.done(call, result, self._clock())
            )

    # Routes called by other agents.

    def _serve_claim(self, call: routes.Call) -> routes.Reply:
        claim = _read(call, outcomes.Claim)
        if failure_value.is_failure(claim):
            return routes.reply_failure(claim)
        outcome = self._submit_locally(claim)
        return routes.reply_json(_to_message(outcome))

    def _serve_query(self, call: routes.Call) -> routes.Reply:
        holder = _read(call, claim_entry.Entry)
        if failure_value.is_failure(holder):
            return routes.reply_failure(holder)
        status = self._find_status(holder)
        return routes.reply_json(
            StatusMessage(state=status.state, ran=status.ran)
        )


_handler_by_action: dict[type, Callable[..., None]] = {
    actions.Commit: ClaimService._commit_claim,
    actions.Release: ClaimService._release_claim,
    actions.QueryHolder: ClaimService._query_holder,
}


@functools.singledispatch
def _call_platform(
    call: typing.Any, platform: interface.PlatformClient
) -> interface.StoredObject | failure_value.Failure | None:
    raise TypeError(f"call: {type(call).__name__} has no handler")


@_call_platform.register
def _call_platform_read(
    call: actions.Read, platform: interface.PlatformClient
) -> interface.StoredObject | failure_value.Failure:
    return platform.get(KIND, call.name)


@_call_platform.register
def _call_platform_write(
    call: actions.Write, platform: interface.PlatformClient
) -> interface.StoredObject | failure_value.Failure:
    return platform.put(KIND, call.name, call.value, if_version=call.if_version)


@_call_platform.register
def _call_platform_delete(
    call: actions.Delete, platform: interface.PlatformClient
) -> failure_value.Failure | None:
    return platform.delete(KIND, call.name, if_version=call.if_version)


def _to_message(outcome: outcomes.Outcome) -> OutcomeMessage:
    kind = type(outcome).__name__
    if isinstance(outcome, outcomes.Unavailable):
        return OutcomeMessage(kind=kind, reason=outcome.reason)
    return OutcomeMessage(kind=kind, entry=outcome[0])


def _from_message(
    message: OutcomeMessage,
) -> outcomes.Outcome | failure_value.Failure:
    """Return the outcome in a message, or a failure if it has none."""
    make = _outcome_by_kind.get(message["kind"])
    content = message.get("entry", message.get("reason"))
    if make is None or content is None:
        return failure_value.Failure(
            code=codes.BAD_MESSAGE, reason=f"kind: {message['kind']}"
        )
    return make(content)


_outcome_by_kind: dict[str, Callable[..., outcomes.Outcome]] = {
    kind.__name__: kind
    for kind in (
        outcomes.Granted,
        outcomes.Held,
        outcomes.KeyReused,
        outcomes.Unavailable,
    )
}


def _read(call: routes.Call, message_type: type[typing.Any]) -> typing.Any:
    """Decode the body of a call; return a failure if it is invalid."""
    body = call.read_body()
    if failure_value.is_failure(body):
        return body
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        return failure_value.Failure(
            code=codes.BAD_MESSAGE, reason=f"body: {error}"
        )
