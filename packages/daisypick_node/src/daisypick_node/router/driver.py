"""Carries out what the core dispatcher decides.

Actions are handled by registered handlers, one a type; senders report what
came of them, and the reports go back to the dispatcher as events.
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


class _Held(typing.NamedTuple):
    """A request that the router holds."""

    exchange: exchange_module.Exchange
    relay: relay_module.Relay


class DispatchDriver:
    """Drives one dispatcher.

    Attributes:
        dispatcher: The core's dispatcher.
        held_bytes: Bytes of the bodies of held requests.
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
        self._held_by_request: dict[str, _Held] = {}
        self.held_bytes = 0
        self._next_check = 0.0
        self._sender_by_attempt: dict[str, gevent.Greenlet] = {}

    @property
    def held_count(self) -> int:
        """Requests that the router holds."""
        return len(self._held_by_request)

    def submit(self, exchange: exchange_module.Exchange) -> relay_module.Relay:
        """Take in a request and return its answer, which grows."""
        relay = relay_module.Relay()
        request_id = exchange.request_id
        self._held_by_request[request_id] = _Held(
            exchange=exchange, relay=relay
        )
        self.held_bytes += len(exchange.body)
        self._note(request_id, "submitted")
        request = _to_request(exchange)
        self.perform(self.dispatcher.submit(request, self._clock()))
        return relay

    def release(self, request_id: str) -> None:
        """Forget a request; cancel it if it is not over."""
        held = self._held_by_request.pop(request_id, None)
        if held is None:
            return
        self.held_bytes -= len(held.exchange.body)
        held.relay.release()
        if not held.relay.is_over:
            self._note(request_id, "cancelled: caller is gone")
            self.perform(self.dispatcher.cancel(request_id, self._clock()))

    def set_agents(
        self, addresses: Iterable[core_dispatcher.AgentAddress]
    ) -> None:
        """Take the agents of a new configuration."""
        self.perform(self.dispatcher.set_agents(addresses, self._clock()))

    def tick(self) -> None:
        """Let time pass; look which callers have gone."""
        now = self._clock()
        if now >= self._next_check:
            self._next_check = now + callers.CHECK_SECONDS
            self._look_at_callers()
        self.perform(self.dispatcher.tick(self._clock()))

    def hear(self, agent: str, load: load_message.Load) -> None:
        """Take an agent's load."""
        self._note_contact(agent, load.generation)
        self.perform(self.dispatcher.record_load(agent, load, self._clock()))

    def hinted(
        self, attempt_id: str, agent: str, load: load_message.Load
    ) -> None:
        """Learn that an attempt waits while another agent is idle."""
        self.perform(
            self.dispatcher.hinted(attempt_id, agent, load, self._clock())
        )

    def started(self, attempt_id: str) -> None:
        """Note that an attempt runs."""
        self.perform(self.dispatcher.started(attempt_id, self._clock()))

    def first_token(self, attempt_id: str) -> None:
        """Note the first token of an answer."""
        self.dispatcher.first_token(attempt_id, self._clock())

    def finished(self, attempt_id: str) -> None:
        """Note that a whole answer is there."""
        self.perform(self.dispatcher.finished(attempt_id, self._clock()))

    def returned(self, attempt_id: str, failure: failure_value.Failure) -> None:
        """Note that an attempt never ran and never will."""
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
        """Note that an attempt may have run and has no whole answer."""
        self._note_attempt(attempt_id, f"broken: {failure.code.number}")
        self.perform(
            self.dispatcher.broken(
                attempt_id, failure, self._clock(), is_answered=is_answered
            )
        )

    def perform(self, due: Iterable[actions.Action]) -> None:
        """Carry actions out in order."""
        for action in due:
            _perform(action, self)

    def dispatch(self, action: actions.Dispatch) -> None:
        """Send an attempt."""
        attempt = action.attempt
        held = self._held_by_request.get(attempt.request_id)
        if held is None:
            # The dispatcher must not keep a place for what nobody sends.
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
        subject = sender.Sender(
            parcel=self._pack(action, held.exchange),
            relay=held.relay,
            pool=self._pool,
            peers=self._peers,
            fleet_key=self._fleet_key,
            events=self,
        )
        self._sender_by_attempt[attempt.attempt_id] = gevent.spawn(
            self._run_sender, subject
        )

    def withdraw(self, action: actions.Withdraw) -> None:
        """Ask an agent to bar an attempt; its stream tells the outcome."""
        gevent.spawn(
            self._peers.call,
            action.agent,
            "POST",
            attempt_routes.WITHDRAW,
            _name(action.attempt),
        )

    def cancel(self, action: actions.Cancel) -> None:
        """Tell an agent that nobody waits for an attempt."""
        greenlet = self._sender_by_attempt.pop(action.attempt.attempt_id, None)
        if greenlet is not None:
            greenlet.kill(block=False)
        gevent.spawn(
            self._peers.call,
            action.agent,
            "POST",
            attempt_routes.CANCEL,
            _name(action.attempt),
        )

    def fail(self, action: actions.Fail) -> None:
        """Give a caller its final answer."""
        self._note(action.request_id, f"failed: {action.failure.code.number}")
        held = self._held_by_request.get(action.request_id)
        if held is not None:
            held.relay.fail(action.failure)

    def _look_at_callers(self) -> None:
        for held in self._held_by_request.values():
            if callers.is_gone(held.exchange.call.sock):
                held.relay.leave()

    def _run_sender(self, subject: sender.Sender) -> None:
        try:
            subject.run()
        except Exception as error:
            # Without this a fault in our own code would leave the caller
            # waiting for good; the attempt may have run.
            _log.say("Fails to send.", error=repr(error))
            self.broken(
                subject.attempt.attempt_id,
                failure_value.Failure(
                    code=codes.OUTCOME_UNKNOWN, reason="router: fault"
                ),
            )
        finally:
            self._sender_by_attempt.pop(subject.attempt.attempt_id, None)

    def _pack(
        self, action: actions.Dispatch, exchange: exchange_module.Exchange
    ) -> sender.Parcel:
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
        return sender.Parcel(
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


def _name(attempt: attempt_message.Attempt) -> attempt_routes.Naming:
    return attempt_routes.Naming(
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
