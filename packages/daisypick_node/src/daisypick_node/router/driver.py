"""Carries out the actions of the core dispatcher.

Each type of action has a registered handler. Senders report the outcomes, which
are passed to the dispatcher as events.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import typing

import gevent
import msgspec

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_core.routing import actions
from daisypick_core.routing import dispatcher as core_dispatcher
from daisypick_node import logs
from daisypick_node import records
from daisypick_node.agent import attempt_routes
from daisypick_node.http import client
from daisypick_node.http import peers as peers_module
from daisypick_node.router import callers
from daisypick_node.router import exchange as exchange_module
from daisypick_node.router import relay as relay_module
from daisypick_node.router import sender

_HIDDEN_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


_log = logs.PartLog("router.driver")


class _OpenRequest(typing.NamedTuple):
    """A request that is not finished, and its response."""

    exchange: exchange_module.Exchange
    relay: relay_module.Relay


class DispatchDriver:
    """Passes events to one dispatcher and carries out its actions.

    Attributes:
        dispatcher: The core's dispatcher.
        held_bytes: Total size of the bodies of open requests.
    """

    def __init__(
        self,
        *,
        dispatcher: core_dispatcher.Dispatcher,
        pool: client.ClientPool,
        peers: peers_module.Peers,
        fleet_key: str,
        clock: Callable[[], float],
        generation: Callable[[], int],
        address: Callable[[], str],
        note_contact: Callable[[str, int], None],
        record: records.RequestRecord,
    ) -> None:
        self.dispatcher = dispatcher
        self._pool = pool
        self._peers = peers
        self._fleet_key = fleet_key
        self._clock = clock
        self._generation = generation
        self._address = address
        self._note_contact = note_contact
        self._record = record
        self._open_by_request: dict[str, _OpenRequest] = {}
        self.held_bytes = 0
        self._next_check = 0.0
        self._sender_by_attempt: dict[str, gevent.Greenlet] = {}

    @property
    def held_count(self) -> int:
        """Number of open requests."""
        return len(self._open_by_request)

    def submit(self, exchange: exchange_module.Exchange) -> relay_module.Relay:
        """Submit a request and return the relay that receives its response."""
        relay = relay_module.Relay()
        request_id = exchange.request_id
        self._open_by_request[request_id] = _OpenRequest(
            exchange=exchange, relay=relay
        )
        self.held_bytes += len(exchange.body)
        self._note(request_id, "submitted")
        request = _to_request(exchange)
        self.perform(self.dispatcher.submit(request, self._clock()))
        return relay

    def release(self, request_id: str) -> None:
        """Remove a request; cancel it if it is not finished."""
        open_request = self._open_by_request.pop(request_id, None)
        if open_request is None:
            return
        self.held_bytes -= len(open_request.exchange.body)
        open_request.relay.release()
        if not open_request.relay.is_over:
            self._note(request_id, "cancelled: caller is gone")
            self.perform(self.dispatcher.cancel(request_id, self._clock()))

    def set_agents(
        self, addresses: Iterable[core_dispatcher.AgentAddress]
    ) -> None:
        """Set the agents of a new configuration."""
        self.perform(self.dispatcher.set_agents(addresses, self._clock()))

    def tick(self) -> None:
        """Check for disconnected callers and advance the dispatcher."""
        now = self._clock()
        if now >= self._next_check:
            self._next_check = now + callers.CHECK_SECONDS
            self._check_callers()
        self.perform(self.dispatcher.tick(self._clock()))

    def record_load(self, agent: str, load: load_message.Load) -> None:
        """Record an agent's load."""
        self._note_contact(agent, load.generation)
        self.perform(self.dispatcher.record_load(agent, load, self._clock()))

    def hinted(
        self, attempt_id: str, agent: str, load: load_message.Load
    ) -> None:
        """Record that an attempt waits while another agent is idle."""
        self.perform(
            self.dispatcher.hinted(attempt_id, agent, load, self._clock())
        )

    def started(self, attempt_id: str) -> None:
        """Record that an attempt has started."""
        self.perform(self.dispatcher.started(attempt_id, self._clock()))

    def first_token(self, attempt_id: str) -> None:
        """Record the first token of a response."""
        self.dispatcher.first_token(attempt_id, self._clock())

    def finished(self, attempt_id: str) -> None:
        """Record that the response is complete."""
        self.perform(self.dispatcher.finished(attempt_id, self._clock()))

    def returned(self, attempt_id: str, failure: failure_value.Failure) -> None:
        """Record that an attempt did not run and never will."""
        self._note_attempt(attempt_id, f"returned: {failure.code.number}")
        self.perform(
            self.dispatcher.returned(attempt_id, failure, self._clock())
        )

    def broken(
        self,
        attempt_id: str,
        failure: failure_value.Failure,
        *,
        is_answered: bool = False,
    ) -> None:
        """Record that an attempt without a full response may have run."""
        self._note_attempt(attempt_id, f"broken: {failure.code.number}")
        self.perform(
            self.dispatcher.broken(
                attempt_id, failure, self._clock(), is_answered=is_answered
            )
        )

    def perform(self, due: Iterable[actions.Action]) -> None:
        """Carry out actions in order."""
        for action in due:
            _perform(action, self)

    def dispatch(self, action: actions.Dispatch) -> None:
        """Send an attempt."""
        attempt = action.attempt
        open_request = self._open_by_request.get(attempt.request_id)
        if open_request is None:
            # Frees the slot that the dispatcher reserved for the request.
            self.perform(
                self.dispatcher.cancel(attempt.request_id, self._clock())
            )
            return
        self._note(
            attempt.request_id,
            "sent",
            attempt_id=attempt.attempt_id,
            agent=action.agent,
        )
        attempt_sender = sender.Sender(
            encoded=self._encode_attempt(action, open_request.exchange),
            relay=open_request.relay,
            pool=self._pool,
            peers=self._peers,
            fleet_key=self._fleet_key,
            events=self,
        )
        self._sender_by_attempt[attempt.attempt_id] = gevent.spawn(
            self._run_sender, attempt_sender
        )

    def withdraw(self, action: actions.Withdraw) -> None:
        """Ask an agent to withdraw an attempt.

        The outcome arrives on the stream of the attempt.
        """
        gevent.spawn(
            self._peers.call,
            action.agent,
            "POST",
            attempt_routes.WITHDRAW,
            _to_naming(action.attempt),
        )

    def cancel(self, action: actions.Cancel) -> None:
        """Ask an agent to cancel an attempt whose caller disconnected."""
        greenlet = self._sender_by_attempt.pop(action.attempt.attempt_id, None)
        if greenlet is not None:
            greenlet.kill(block=False)
        gevent.spawn(
            self._peers.call,
            action.agent,
            "POST",
            attempt_routes.CANCEL,
            _to_naming(action.attempt),
        )

    def fail(self, action: actions.Fail) -> None:
        """Fail a request with its final failure."""
        self._note(action.request_id, f"failed: {action.failure.code.number}")
        open_request = self._open_by_request.get(action.request_id)
        if open_request is not None:
            open_request.relay.fail(action.failure)

    def _check_callers(self) -> None:
        for open_request in self._open_by_request.values():
            if callers.is_disconnected(open_request.exchange.call.sock):
                open_request.relay.record_disconnect()

    def _run_sender(self, attempt_sender: sender.Sender) -> None:
        try:
            attempt_sender.run()
        except Exception as error:
            # Without this, an exception in the sender would leave the caller
            # waiting forever; the attempt may have run.
            _log.say("Sender failed.", error=repr(error))
            self.broken(
                attempt_sender.attempt.attempt_id,
                failure_value.Failure(
                    code=codes.OUTCOME_UNKNOWN, reason="router: fault"
                ),
            )
        finally:
            self._sender_by_attempt.pop(attempt_sender.attempt.attempt_id, None)

    def _encode_attempt(
        self, action: actions.Dispatch, exchange: exchange_module.Exchange
    ) -> sender.EncodedAttempt:
        envelope = attempt_message.to_envelope(
            action.attempt._replace(router=self._address()),
            self._clock(),
            generation=self._generation(),
            method=exchange.call.method,
            path=exchange.path,
            headers=[
                (name, value)
                for name, value in exchange.call.headers.items()
                if name not in _HIDDEN_HEADERS
            ],
        )
        return sender.EncodedAttempt(
            attempt=action.attempt,
            agent=action.agent,
            envelope=msgspec.json.encode(envelope),
            body=exchange.body,
        )

    def _note(self, request_id: str, event: str, **detail: typing.Any) -> None:
        self._record.note(request_id, self._clock(), event, **detail)

    def _note_attempt(self, attempt_id: str, event: str) -> None:
        request_id = attempt_id.rpartition(".")[0]
        self._note(request_id, event, attempt_id=attempt_id)


def _to_naming(
    attempt: attempt_message.Attempt,
) -> attempt_routes.AttemptReference:
    return attempt_routes.AttemptReference(
        attempt_id=attempt.attempt_id, epoch=attempt.epoch
    )


@functools.singledispatch
def _perform(action: typing.Any, driver: DispatchDriver) -> None:
    raise TypeError(f"action: {type(action).__name__} has no handler")


@_perform.register
def _perform_dispatch(action: actions.Dispatch, driver: DispatchDriver) -> None:
    driver.dispatch(action)


@_perform.register
def _perform_withdraw(action: actions.Withdraw, driver: DispatchDriver) -> None:
    driver.withdraw(action)


@_perform.register
def _perform_cancel(action: actions.Cancel, driver: DispatchDriver) -> None:
    driver.cancel(action)


@_perform.register
def _perform_fail(action: actions.Fail, driver: DispatchDriver) -> None:
    driver.fail(action)


def _to_request(
    exchange: exchange_module.Exchange,
) -> core_dispatcher.Request:
    assert exchange.organisation is not None
    assert exchange.service is not None
    return core_dispatcher.Request(
        request_id=exchange.request_id,
        organisation=exchange.organisation.name,
        service=exchange.service.name,
        estimate=exchange.estimate,
        deadline=exchange.deadline,
        is_repeatable=exchange.is_repeatable,
        idempotency_key=exchange.idempotency_key,
        fingerprint=exchange.fingerprint,
        prefix=exchange.prefix,
        is_stream=exchange.is_stream,
    )
