"""Sends one attempt to the backend server.

The request is sent once. The server's response is appended to an
``AttemptResponse`` as it arrives. Tokens that arrive within ``gather_seconds``
are read together, which needs one loop step instead of one for each token.
"""

from collections.abc import Callable
import typing

import gevent

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.agent import responses
from daisypick_node.agent import usage as usage_module
from daisypick_node.http import client

BOOT_ID = "x-boot-id"
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "trailer",
        "te",
        # The router sets these two on the response to the caller.
        "date",
        "x-request-id",
    }
)
_STREAM_TYPE = "text/event-stream"
_SERVER_FAULT = 500


class Outcome(typing.NamedTuple):
    """The outcome of an attempt.

    Attributes:
        cost: Tokens charged for the attempt.
        is_healthy: Whether the backend server responded without an error.
        first_byte_seconds: Time to the first byte of the body.
    """

    cost: float
    is_healthy: bool
    first_byte_seconds: float


class Work(typing.NamedTuple):
    """An attempt and its HTTP request to the backend server."""

    attempt: attempt_message.Attempt
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class Runner:
    """Runs attempts on a backend server."""

    def __init__(
        self,
        *,
        pool: client.ClientPool,
        gather_seconds: float,
        clock: Callable[[], float],
        note_progress: Callable[[str, int], None],
        note_boot: Callable[[str], None],
    ) -> None:
        self._pool = pool
        self._gather_seconds = gather_seconds
        self._clock = clock
        self._note_progress = note_progress
        self._note_boot = note_boot

    def run(
        self, work: Work, server: str, response: responses.AttemptResponse
    ) -> Outcome:
        """Call the backend server and copy its response to ``response``."""
        started_at = self._clock()
        try:
            http_response = self._send(work, server)
        except client.CALL_ERRORS as error:
            self._pool.close_idle(server)
            return self._fail(response, _call_failure(error))
        except ValueError as error:
            # The HTTP client could not build the request: nothing was sent,
            # and the agent of any other server would fail in the same way.
            return self._fail(response, _invalid_call_failure(error))
        first_byte_at = None
        try:
            boot_id = str(http_response.get(BOOT_ID, ""))
            if boot_id:
                self._note_boot(boot_id)
            if _is_retried_elsewhere(work.attempt, http_response.status_code):
                return self._fail(response, _engine_failure(http_response))
            meter = self._start_response(response, http_response)
            while data := client.read_available(http_response):
                first_byte_at = first_byte_at or self._clock()
                meter.feed(data)
                response.append(data)
                self._note_progress(
                    work.attempt.attempt_id, meter.streamed_tokens
                )
                if not http_response.message_complete:
                    gevent.sleep(self._gather_seconds)
        except client.CALL_ERRORS as error:
            return self._fail(response, _broken_failure(error))
        finally:
            client.abandon(http_response)
        if not meter.has_end_mark():
            return self._fail(response, _broken_failure(None))
        return self._finish(
            response, meter, (first_byte_at or started_at) - started_at
        )

    def _send(self, work: Work, server: str) -> client.Response:
        headers = dict(work.headers)
        headers["X-Request-Id"] = work.attempt.request_id
        return self._pool.request(
            server, work.method, work.path, body=work.body, headers=headers
        )

    def _start_response(
        self,
        response: responses.AttemptResponse,
        http_response: client.Response,
    ) -> usage_module.UsageMeter:
        headers = [
            (name, value)
            for name, value in http_response.headers
            if name.lower() not in _HOP_HEADERS
        ]
        response.set_head(
            responses.Head(status=http_response.status_code, headers=headers)
        )
        content_type = str(http_response.get("content-type", ""))
        return usage_module.UsageMeter(
            is_stream=content_type.startswith(_STREAM_TYPE)
        )

    def _finish(
        self,
        response: responses.AttemptResponse,
        meter: usage_module.UsageMeter,
        first_byte_seconds: float,
    ) -> Outcome:
        usage = meter.total(bytes(response.data))
        assert response.head is not None
        is_healthy = response.head.status < _SERVER_FAULT
        response.finish(usage, self._clock())
        return Outcome(
            cost=float(usage.prompt_tokens + usage.completion_tokens),
            is_healthy=is_healthy,
            first_byte_seconds=first_byte_seconds,
        )

    def _fail(
        self,
        response: responses.AttemptResponse,
        failure: failure_value.Failure,
    ) -> Outcome:
        response.fail(failure, self._clock())
        return Outcome(
            cost=0.0,
            is_healthy=False,
            first_byte_seconds=0.0,
        )


def _is_retried_elsewhere(
    attempt: attempt_message.Attempt, status: int
) -> bool:
    """Return whether to retry the request on another backend server.

    A server that crashes during its cold start responds with 5xx; a repeatable
    request is then run on another server. A request that is not repeatable
    keeps this response, because it may have run.
    """
    return attempt.is_repeatable and status >= _SERVER_FAULT


def _engine_failure(http_response: client.Response) -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.ENGINE_FAILED,
        reason=f"backend server: status {http_response.status_code}",
    )


def _call_failure(error: Exception) -> failure_value.Failure:
    """Return the failure for an error of sending.

    Only a connection that was never established proves that nothing arrived.
    Any other error may occur after the backend server has run the request.
    """
    code = codes.OUTCOME_UNKNOWN
    if isinstance(error, client.NotConnectedError):
        code = codes.ENGINE_UNREACHABLE
    return failure_value.Failure(
        code=code, reason=f"backend server: {type(error).__name__}"
    )


def _invalid_call_failure(error: ValueError) -> failure_value.Failure:
    return failure_value.Failure(code=codes.BAD_REQUEST, reason=str(error))


def _broken_failure(error: Exception | None) -> failure_value.Failure:
    detail = type(error).__name__ if error else "no end mark"
    return failure_value.Failure(
        code=codes.ANSWER_BROKEN, reason=f"backend server: {detail}"
    )
