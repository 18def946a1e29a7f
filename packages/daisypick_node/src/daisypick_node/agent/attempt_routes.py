"""HTTP routes of the agent for attempts, called by routers.

* ``POST /internal/attempts``: run an attempt; the response streams as frames.
* ``GET /internal/attempts/ID?from=N``: resume a response from byte N.
* ``POST /internal/withdraw``: withdraw an attempt unless it has started.
* ``POST /internal/cancel``: cancel an attempt that no caller waits for.

Idle agents call one more:

* ``POST /internal/idle``: the sender has free slots and an empty queue.
"""

from collections.abc import Callable
from collections.abc import Iterator
import typing
import urllib.parse

import msgspec

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.messages import frame
from daisypick_core.messages import load as load_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.agent import driver as driver_module
from daisypick_node.agent import responses
from daisypick_node.agent import runner
from daisypick_node.http import routes

ENVELOPE = "daisypick-envelope"
ATTEMPTS = "/internal/attempts"
WITHDRAW = "/internal/withdraw"
CANCEL = "/internal/cancel"
IDLE = "/internal/idle"
HEARTBEAT_SECONDS = 1.0


class AttemptReference(typing.TypedDict):
    """Identifies an attempt and the epoch in which it was sent."""

    attempt_id: str
    epoch: int


class IdleNotice(typing.TypedDict):
    """Announces that an agent has free slots and an empty queue."""

    agent: str
    load: load_message.Load


class Status(typing.TypedDict):
    """The status of an attempt."""

    state: str
    ran: bool
    load: load_message.Load


class AttemptRoutes:
    """Handles the agent's attempt routes."""

    def __init__(
        self,
        *,
        driver: driver_module.GateDriver,
        clock: Callable[[], float],
        note_contact: Callable[[str, int], None],
    ) -> None:
        self._driver = driver
        self._clock = clock
        self._note_contact = note_contact

    def handlers(self) -> routes.Routes:
        """Return the handlers by route."""
        return {
            routes.Route("POST", ATTEMPTS): self._offer,
            routes.Route("GET", ATTEMPTS + "/"): self._resume,
            routes.Route("POST", WITHDRAW): self._withdraw,
            routes.Route("POST", CANCEL): self._cancel,
            routes.Route("POST", IDLE): self._note_idle,
        }

    def _offer(self, call: routes.Call) -> routes.Reply:
        try:
            envelope = msgspec.json.decode(
                call.headers.get(ENVELOPE, ""), type=attempt_message.Envelope
            )
        except msgspec.MsgspecError as error:
            return _bad_message(f"{ENVELOPE}: {error}")
        body = call.read_body()
        if failure_value.is_failure(body):
            return routes.reply_failure(body)
        self._note_contact(envelope["router"], envelope["generation"])
        work = runner.Work(
            attempt=attempt_message.from_envelope(envelope, self._clock()),
            method=envelope["method"],
            path=envelope["path"],
            headers=[tuple(header) for header in envelope["headers"]],
            body=body,
        )
        return self._stream(self._driver.offer(work), 0)

    def _resume(self, call: routes.Call) -> routes.Reply:
        attempt_id = urllib.parse.unquote(call.path[len(ATTEMPTS) + 1 :])
        query = urllib.parse.parse_qs(call.query)
        response = self._driver.responses.get(attempt_id)
        if response is None:
            return routes.reply_failure(
                failure_value.Failure(
                    code=codes.NOT_FOUND,
                    reason=f"attempt_id: {attempt_id} has no answer here",
                )
            )
        return self._stream(response, int(query.get("from", ["0"])[0]))

    def _stream(
        self, response: responses.AttemptResponse, offset: int
    ) -> routes.Reply:
        return routes.Reply(
            status=200,
            headers=[("Content-Type", routes.FRAMES)],
            body=self._follow(response, offset),
        )

    def _follow(
        self, response: responses.AttemptResponse, offset: int
    ) -> Iterator[bytes]:
        response.reader_count += 1
        try:
            follower = responses.Follower(
                response=response,
                offset=offset,
                heartbeat_seconds=HEARTBEAT_SECONDS,
                describe=self._driver.detail,
            )
            for ready in follower.frames():
                yield b"".join(map(frame.encode, ready))
        finally:
            response.reader_count -= 1
            response.last_read_at = self._clock()

    def _withdraw(self, call: routes.Call) -> routes.Reply:
        reference = _read_reference(call)
        if failure_value.is_failure(reference):
            return routes.reply_failure(reference)
        status = self._driver.withdraw(
            reference["attempt_id"], epoch=reference["epoch"]
        )
        return routes.reply_json(
            Status(
                state=status.state,
                ran=status.ran,
                load=self._driver.gate.load(),
            )
        )

    def _cancel(self, call: routes.Call) -> routes.Reply:
        reference = _read_reference(call)
        if failure_value.is_failure(reference):
            return routes.reply_failure(reference)
        self._driver.cancel(reference["attempt_id"])
        return routes.reply_json({"load": self._driver.gate.load()})

    def _note_idle(self, call: routes.Call) -> routes.Reply:
        notice = _read_message(call, IdleNotice)
        if failure_value.is_failure(notice):
            return routes.reply_failure(notice)
        self._note_contact(notice["agent"], notice["load"].generation)
        self._driver.note_idle(notice["agent"], notice["load"])
        return routes.reply_json({})


def _read_reference(
    call: routes.Call,
) -> AttemptReference | failure_value.Failure:
    return _read_message(call, AttemptReference)


def _read_message(
    call: routes.Call, message_type: type[typing.Any]
) -> typing.Any:
    body = call.read_body()
    if failure_value.is_failure(body):
        return body
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        return failure_value.Failure(
            code=codes.BAD_MESSAGE, reason=f"body: {error}"
        )


def _bad_message(reason: str) -> routes.Reply:
    return routes.reply_failure(
        failure_value.Failure(code=codes.BAD_MESSAGE, reason=reason)
    )
