"""Replays the first response to a retry of an idempotency key.

The attempt of the retry does not run. Its response is copied, while it
streams, from the attempt that holds the key: from the memory of this agent or
from the other agent. After a broken connection the copy resumes from the last
byte received.
"""

from collections.abc import Callable
from collections.abc import Iterator
import urllib.parse

import gevent
import msgspec

from daisypick_core.claims import entry as claim_entry
from daisypick_core.messages import frame
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node.agent import responses
from daisypick_node.http import client

ATTEMPTS = "/internal/attempts"
RESUME_PAUSES = (0.0, 0.2, 0.5)
HEARTBEAT_SECONDS = 1.0


class ResponseReplay:
    """Copies responses of the attempts that hold idempotency keys."""

    def __init__(
        self,
        *,
        store: responses.ResponseStore,
        pool: client.ClientPool,
        fleet_key: str,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._pool = pool
        self._headers = {"Authorization": f"Bearer {fleet_key}"}
        self._clock = clock

    def copy(
        self,
        holder: claim_entry.Entry,
        response: responses.AttemptResponse,
        fallback: failure_value.Failure,
    ) -> None:
        """Copy the holder's response to ``response``.

        If the holder did not run, fail ``response`` with ``fallback``.
        """
        failure = self._copy(holder, response, fallback)
        if failure is not None:
            response.fail(failure, self._clock())

    def _copy(
        self,
        holder: claim_entry.Entry,
        response: responses.AttemptResponse,
        fallback: failure_value.Failure,
    ) -> failure_value.Failure | None:
        stored = self._store.get(holder.attempt_id)
        if stored is not None:
            frames = _local_frames(stored, len(response.data))
            return self._copy_frames(frames, response, fallback)
        for pause in RESUME_PAUSES:
            gevent.sleep(pause)
            try:
                http_response = self._request(holder, len(response.data))
            except client.CALL_ERRORS:
                continue
            if http_response.status_code != 200:
                client.abandon(http_response)
                return _unknown("agent: the answer is no longer kept")
            try:
                frames = _remote_frames(http_response)
                return self._copy_frames(frames, response, fallback)
            except (*client.CALL_ERRORS, EOFError, msgspec.MsgspecError):
                self._pool.close_idle(holder.agent)
            finally:
                client.abandon(http_response)
        return _unknown("agent: the answer's holder cannot be reached")

    def _request(
        self, holder: claim_entry.Entry, offset: int
    ) -> client.Response:
        attempt_id = urllib.parse.quote(holder.attempt_id)
        return self._pool.request(
            holder.agent,
            "GET",
            f"{ATTEMPTS}/{attempt_id}?from={offset}",
            headers=self._headers,
        )

    def _copy_frames(
        self,
        frames: Iterator[frame.Frame],
        response: responses.AttemptResponse,
        fallback: failure_value.Failure,
    ) -> failure_value.Failure | None:
        """Copy frames up to the last one; return a failure if there is one.

        Raises:
            EOFError: The frames end before the last one.
        """
        for part in frames:
            if part.kind == frame.HEAD and response.head is None:
                response.start()
                response.set_head(_head(part))
            elif part.kind == frame.DATA:
                response.append(part.data)
            elif part.kind == frame.END:
                response.finish(responses.Usage(), self._clock())
                return None
            elif part.kind == frame.REFUSED:
                return _refusal(part, fallback)
        raise EOFError("frames")


def _local_frames(
    stored: responses.AttemptResponse, offset: int
) -> Iterator[frame.Frame]:
    follower = responses.Follower(
        response=stored,
        offset=offset,
        heartbeat_seconds=HEARTBEAT_SECONDS,
        describe=lambda: frame.Detail(),
    )
    stored.reader_count += 1
    try:
        for ready in follower.frames():
            yield from ready
    finally:
        stored.reader_count -= 1


def _remote_frames(http_response: client.Response) -> Iterator[frame.Frame]:
    rest = b""
    while data := client.read_available(http_response):
        parts, rest = frame.decode_lines(rest + data)
        yield from parts


def _head(part: frame.Frame) -> responses.Head:
    assert part.detail is not None
    return responses.Head(
        status=part.detail["status"], headers=part.detail["headers"]
    )


def _refusal(
    part: frame.Frame, fallback: failure_value.Failure
) -> failure_value.Failure:
    """Return the failure for the retry after a failure of the holder.

    A holder that did not run has released its key, so the caller may retry.
    Any other failure applies to the retry as well.
    """
    assert part.detail is not None
    code = codes.by_number.get(part.detail["code"], codes.OUTCOME_UNKNOWN)
    if code.ran == codes.RAN_NO:
        return fallback
    return failure_value.Failure(code=code, reason=part.detail["reason"])


def _unknown(reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=codes.OUTCOME_UNKNOWN, reason=reason)
