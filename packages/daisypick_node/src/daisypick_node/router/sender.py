"""One attempt's exchange with an agent.

The answer comes as frames. A connection that breaks or stays silent (agents
send a beat each second) is replaced by a fresh one, and the answer goes on
from the byte reached. If the agent does not know the attempt, it is asked to
bar it, and only then is the attempt reported as "not run".
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

# Pauses before each try to resume, seconds. What may be repeated is soon run
# elsewhere: when a data centre falls silent its callers wait for these pauses
# and a connect timeout each. What may not be repeated has no other way to its
# answer, so it is asked for longer, past a short pause of the agent's VM.
REPEATABLE_PAUSES = (0.0, 0.3)
ONCE_PAUSES = (0.0, 0.2, 0.5, 1.0, 2.0, 4.0)


class Events(typing.Protocol):
    """Where a sender reports what came of its attempt."""

    def hear(self, agent: str, load: load_message.Load) -> None:
        """Take an agent's load."""

    def hinted(
        self, attempt_id: str, agent: str, load: load_message.Load
    ) -> None:
        """Learn that the attempt waits while another agent is idle."""

    def started(self, attempt_id: str) -> None:
        """Note that the attempt runs."""

    def first_token(self, attempt_id: str) -> None:
        """Note the first token of the answer."""

    def finished(self, attempt_id: str) -> None:
        """Note that the whole answer is there."""

    def returned(self, attempt_id: str, failure: failure_value.Failure) -> None:
        """Note that the attempt never ran and never will."""

    def broken(
        self,
        attempt_id: str,
        failure: failure_value.Failure,
        *,
        is_answered: bool = False,
    ) -> None:
        """Note that the attempt may have run and has no whole answer."""


class Parcel(typing.NamedTuple):
    """An attempt packed for its agent."""

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
    """Sends one attempt and relays its answer."""

    def __init__(
        self,
        *,
        parcel: Parcel,
        relay: relay_module.Relay,
        pool: client.ClientPool,
        peers: peers_module.Peers,
        fleet_key: str,
        events: Events,
    ) -> None:
        self.attempt = parcel.attempt
        self.relay = relay
        self.events = events
        self._parcel = parcel
        self._pool = pool
        self._peers = peers
        self._headers = {"Authorization": f"Bearer {fleet_key}"}
        self._response: client.Response | None = None

    @property
    def agent(self) -> str:
        """Address of the agent."""
        return self._parcel.agent

    def run(self) -> None:
        """Carry the exchange to its end and report it."""
        self.relay.begin()
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
            "Daisypick-Envelope": self._parcel.envelope.decode(),
        }
        return self._pool.request(
            self.agent,
            "POST",
            attempt_routes.ATTEMPTS,
            body=self._parcel.body,
            headers=headers,
        )

    def _close(self) -> None:
        if self._response is not None:
            client.abandon(self._response)
            self._response = None

    def _read_to_end(self) -> bool:
        """Handle frames; return whether the exchange is settled."""
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
        """Get a fresh connection to the answer; settle if there is none."""
        self._close()
        self._pool.forget(self.agent)
        is_repeatable = self.attempt.is_repeatable
        for pause in REPEATABLE_PAUSES if is_repeatable else ONCE_PAUSES:
            gevent.sleep(pause)
            try:
                response = self._ask_rest()
            except client.CALL_ERRORS:
                continue
            if response.status_code == 200:
                self._response = response
                return True
            client.abandon(response)
            return self._settle_unknown()
        self._report_lost("agent: cannot be reached")
        return False

    def _ask_rest(self) -> client.Response:
        attempt_id = urllib.parse.quote(self.attempt.attempt_id)
        path = f"{attempt_routes.ATTEMPTS}/{attempt_id}"
        return self._pool.request(
            self.agent,
            "GET",
            f"{path}?from={self.relay.splice.received}",
            headers=self._headers,
        )

    def _settle_unknown(self) -> bool:
        """Have an attempt barred that the agent has no answer of."""
        attempt_id = self.attempt.attempt_id
        answer = self._peers.call(
            self.agent,
            "POST",
            attempt_routes.WITHDRAW,
            attempt_routes.Naming(
                attempt_id=attempt_id, epoch=self.attempt.epoch
            ),
        )
        status = peers_module.decode(answer, attempt_routes.Status)
        if failure_value.is_failure(status):
            self._report_lost(status.reason)
            return False
        self.events.hear(self.agent, status["load"])
        if status["load"].incarnation != self.attempt.incarnation:
            # The agent has restarted: its new start knows nothing of the
            # attempt, which may have run before. "Not run" would be a guess.
            self._report_lost("agent: has restarted")
        elif status["ran"]:
            self.events.broken(attempt_id, _lost("answer: no longer kept"))
        else:
            self.events.returned(
                attempt_id,
                failure_value.Failure(
                    code=codes.WITHDRAWN, reason="agent: never started it"
                ),
            )
        return False

    def _report_lost(self, reason: str) -> None:
        """Report an attempt of which no agent can tell."""
        attempt_id = self.attempt.attempt_id
        if self.attempt.incarnation:
            self.events.broken(attempt_id, _lost(reason))
            return
        # A router's first attempt at an agent carries no incarnation, and
        # every start of the agent refuses it: it never ran. Told as unknown,
        # a booking would be lost to a connection that failed at first sight.
        self.events.returned(
            attempt_id,
            failure_value.Failure(code=codes.ENGINE_UNREACHABLE, reason=reason),
        )


def _read_frames(response: client.Response) -> Iterator[frame.Frame]:
    rest = b""
    while data := client.read_available(response):
        parts, rest = frame.decode_lines(rest + data)
        yield from parts


def _hear_load(sender: Sender, part: frame.Frame) -> None:
    if part.detail is not None and "load" in part.detail:
        sender.events.hear(sender.agent, part.detail["load"])


@_handles(frame.QUEUED)
def _handle_queued(sender: Sender, part: frame.Frame) -> bool:
    _hear_load(sender, part)
    return False


@_handles(frame.STARTED)
def _handle_started(sender: Sender, part: frame.Frame) -> bool:
    _hear_load(sender, part)
    sender.events.started(sender.attempt.attempt_id)
    return False


@_handles(frame.HEARTBEAT)
def _handle_beat(sender: Sender, part: frame.Frame) -> bool:
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
    _hear_load(sender, part)
    failure = sender.relay.finish(part.detail)
    if failure is None:
        sender.events.finished(sender.attempt.attempt_id)
        return True
    return _report_broken(sender, failure)


@_handles(frame.REFUSED)
def _handle_refused(sender: Sender, part: frame.Frame) -> bool:
    assert part.detail is not None
    _hear_load(sender, part)
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


def _lost(reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=codes.OUTCOME_UNKNOWN, reason=reason)


def _unreachable(error: Exception) -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.ENGINE_UNREACHABLE, reason=f"agent: {error}"
    )
