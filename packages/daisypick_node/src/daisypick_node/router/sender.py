"""Sends one attempt to an agent and relays the response.

The response arrives as frames. A connection that fails or times out (agents
send a heartbeat each second) is replaced by a new one, and the response is
resumed at the byte reached. If the agent does not know the attempt, the agent
is asked to withdraw it, which prevents it from running later, and only then is
it reported as "not run".
"""

from collections.abc import Callable
from collections.abc import Iterator
import typing
import urllib.parse

import gevent
import msgspec

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import frame
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.agent import attempt_routes
from daisypick_node.http import client
from daisypick_node.http import peers as peers_module
from daisypick_node.router import relay as relay_module

# Delays before each retry to resume, seconds. A repeatable request is soon run
# on another server: if a data centre becomes unreachable, its callers wait for
# these delays plus a connect timeout each. A request that is not repeatable
# can get its response only by resuming, so it is retried for longer than a
# short pause of the agent's VM.
REPEATABLE_RETRY_DELAYS = (0.0, 0.3)
NON_REPEATABLE_RETRY_DELAYS = (0.0, 0.2, 0.5, 1.0, 2.0, 4.0)


class Events(typing.Protocol):
    """Receives the events of an attempt from its sender."""

    def record_load(self, agent: str, load: load_message.Load) -> None:
        """Record an agent's load."""

    def hinted(
        self, attempt_id: str, agent: str, load: load_message.Load
    ) -> None:
        """Record that the attempt waits while another agent is idle."""

    def started(self, attempt_id: str) -> None:
        """Record that the attempt has started."""

    def first_token(self, attempt_id: str) -> None:
        """Record the first token of the response."""

    def finished(self, attempt_id: str) -> None:
        """Record that the response is complete."""

    def returned(self, attempt_id: str, failure: failure_value.Failure) -> None:
        """Record that the attempt did not run and never will."""

    def broken(
        self,
        attempt_id: str,
        failure: failure_value.Failure,
        *,
        is_answered: bool = False,
    ) -> None:
        """Record that the attempt without a full response may have run."""


class EncodedAttempt(typing.NamedTuple):
    """An attempt with its encoded envelope and body, and its agent."""

    attempt: attempt_message.Attempt
    agent: str
    envelope: bytes
    body: bytes


_FrameHandler = Callable[["Sender", frame.Frame], bool]
_handler_by_kind: dict[str, _FrameHandler] = {}


def _handles(kind: str) -> Callable[[_FrameHandler], _FrameHandler]:
    def _add(handler: _FrameHandler) -> _FrameHandler:
        _handler_by_kind[kind] = handler
        return handler

    return _add


class Sender:
    """Sends one attempt and relays its response."""

    def __init__(
        self,
        *,
        encoded: EncodedAttempt,
        relay: relay_module.Relay,
        pool: client.ClientPool,
        peers: peers_module.Peers,
        fleet_key: str,
        events: Events,
    ) -> None:
        self.attempt = encoded.attempt
        self.relay = relay
        self.events = events
        self._encoded = encoded
        self._pool = pool
        self._peers = peers
        self._headers = {"Authorization": f"Bearer {fleet_key}"}
        self._response: client.Response | None = None

    @property
    def agent(self) -> str:
        """Address of the agent."""
        return self._encoded.agent

    def run(self) -> None:
        """Send the attempt, relay its response and report the outcome."""
        self.relay.start_attempt()
        try:
            self._response = self._open()
        except client.NotConnectedError as error:
            self.events.returned(self.attempt.attempt_id, _unreachable(error))
            return
        except client.CALL_ERRORS:
            self._response = None
        try:
            while not self._read_to_end():
                if not self._resume():
                    return
        finally:
            self._close()

    def _open(self) -> client.Response:
        headers = {
            **self._headers,
            "Daisypick-Envelope": self._encoded.envelope.decode(),
        }
        return self._pool.request(
            self.agent,
            "POST",
            attempt_routes.ATTEMPTS,
            body=self._encoded.body,
            headers=headers,
        )

    def _close(self) -> None:
        if self._response is not None:
            client.abandon(self._response)
            self._response = None

    def _read_to_end(self) -> bool:
        """Handle frames; return whether the outcome was reported."""
        if self._response is None:
            return False
        if self._response.status_code != 200:
            self._close()
            return False
        try:
            for part in _read_frames(self._response):
                if _handler_by_kind[part.kind](self, part):
                    return True
        except (*client.CALL_ERRORS, msgspec.MsgspecError):
            return False
        return False

    def _resume(self) -> bool:
        """Reconnect to the response; report the outcome if that fails."""
        self._close()
        self._pool.close_idle(self.agent)
        is_repeatable = self.attempt.is_repeatable
        for delay in (
            REPEATABLE_RETRY_DELAYS
            if is_repeatable
            else NON_REPEATABLE_RETRY_DELAYS
        ):
            gevent.sleep(delay)
            try:
                response = self._request_rest()
            except client.CALL_ERRORS:
                continue
            if response.status_code == 200:
                self._response = response
                return True
            client.abandon(response)
            return self._withdraw_unknown()
        self._report_lost("agent: cannot be reached")
        return False

    def _request_rest(self) -> client.Response:
        attempt_id = urllib.parse.quote(self.attempt.attempt_id)
        path = f"{attempt_routes.ATTEMPTS}/{attempt_id}"
        return self._pool.request(
            self.agent,
            "GET",
            f"{path}?from={self.relay.splice.received}",
            headers=self._headers,
        )

    def _withdraw_unknown(self) -> bool:
        """Withdraw an attempt that the agent has no response of."""
        attempt_id = self.attempt.attempt_id
        response_body = self._peers.call(
            self.agent,
            "POST",
            attempt_routes.WITHDRAW,
            attempt_routes.AttemptReference(
                attempt_id=attempt_id, epoch=self.attempt.epoch
            ),
        )
        status = peers_module.decode(response_body, attempt_routes.Status)
        if failure_value.is_failure(status):
            self._report_lost(status.reason)
            return False
        self.events.record_load(self.agent, status["load"])
        if status["load"].incarnation != self.attempt.incarnation:
            # The restarted agent has no record of the attempt, which may have
            # run before the restart, so "not run" cannot be claimed.
            self._report_lost("agent: has restarted")
        elif status["ran"]:
            self.events.broken(attempt_id, _unknown("answer: no longer kept"))
        else:
            self.events.returned(
                attempt_id,
                failure_value.Failure(
                    code=codes.WITHDRAWN, reason="agent: never started it"
                ),
            )
        return False

    def _report_lost(self, reason: str) -> None:
        """Report an attempt whose outcome cannot be determined."""
        attempt_id = self.attempt.attempt_id
        if self.attempt.incarnation:
            self.events.broken(attempt_id, _unknown(reason))
            return
        # A router's first attempt at an agent carries no incarnation, and
        # the agent refuses it in every incarnation, so it did not run.
        # Reported as unknown, a request that is not repeatable would fail
        # only because the first connection to the agent failed.
        self.events.returned(
            attempt_id,
            failure_value.Failure(code=codes.ENGINE_UNREACHABLE, reason=reason),
        )


def _read_frames(response: client.Response) -> Iterator[frame.Frame]:
    rest = b""
    while data := client.read_available(response):
        parts, rest = frame.decode_lines(rest + data)
        yield from parts


def _record_load(sender: Sender, part: frame.Frame) -> None:
    if part.detail is not None and "load" in part.detail:
        sender.events.record_load(sender.agent, part.detail["load"])


@_handles(frame.QUEUED)
def _handle_queued(sender: Sender, part: frame.Frame) -> bool:
    _record_load(sender, part)
    return False


@_handles(frame.STARTED)
def _handle_started(sender: Sender, part: frame.Frame) -> bool:
    _record_load(sender, part)
    sender.events.started(sender.attempt.attempt_id)
    return False


@_handles(frame.HEARTBEAT)
def _handle_heartbeat(sender: Sender, part: frame.Frame) -> bool:
    if part.detail is not None and "idle_agent" in part.detail:
        sender.events.hinted(
            sender.attempt.attempt_id,
            part.detail["idle_agent"],
            part.detail["idle_load"],
        )
    return False


@_handles(frame.HEAD)
def _handle_head(sender: Sender, part: frame.Frame) -> bool:
    assert part.detail is not None
    return _report_broken(sender, sender.relay.put_head(part.detail))


@_handles(frame.DATA)
def _handle_data(sender: Sender, part: frame.Frame) -> bool:
    if part.offset == 0:
        sender.events.first_token(sender.attempt.attempt_id)
    return _report_broken(sender, sender.relay.put_data(part))


@_handles(frame.END)
def _handle_end(sender: Sender, part: frame.Frame) -> bool:
    assert part.detail is not None
    _record_load(sender, part)
    failure = sender.relay.finish(part.detail)
    if failure is None:
        sender.events.finished(sender.attempt.attempt_id)
        return True
    return _report_broken(sender, failure)


@_handles(frame.REFUSED)
def _handle_refused(sender: Sender, part: frame.Frame) -> bool:
    assert part.detail is not None
    _record_load(sender, part)
    failure = failure_value.Failure(
        code=codes.by_number.get(part.detail["code"], codes.OUTCOME_UNKNOWN),
        reason=part.detail["reason"],
        retry_after=part.detail.get("retry_after"),
    )
    if failure.ran == codes.RAN_NO:
        sender.events.returned(sender.attempt.attempt_id, failure)
    else:
        sender.events.broken(
            sender.attempt.attempt_id, failure, is_answered=True
        )
    return True


def _report_broken(
    sender: Sender, failure: failure_value.Failure | None
) -> bool:
    if failure is None:
        return False
    sender.events.broken(sender.attempt.attempt_id, failure)
    return True


def _unknown(reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=codes.OUTCOME_UNKNOWN, reason=reason)


def _unreachable(error: Exception) -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.ENGINE_UNREACHABLE, reason=f"agent: {error}"
    )
