"""The HTTP server of the engine.

Paths below ``/standin`` are not part of an engine's API: they inject faults
and report which requests ran. The engine's responses have ``X-Boot-Id``;
successful ones to completions and streams also have ``X-Request-Id``, the
id of the request or a generated one.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import itertools
import select
import socket
import time

import gevent
from gevent import event
import msgspec

from daisypick_standins import web
from daisypick_standins.engine import batch as engine_batch
from daisypick_standins.engine import completions
from daisypick_standins.engine import faults as engine_faults
from daisypick_standins.engine import progress
from daisypick_standins.engine import settings as engine_settings
from daisypick_standins.engine import streams as engine_streams
from daisypick_standins.engine import text

_POLL_SECONDS = 0.1
_MAX_LOADS = 256
_EVENT_STREAM = ("Content-Type", "text/event-stream")


class Engine:
    """The stand-in: its batch, its faults and its server.

    Attributes:
        batch: The generations and their counters.
        faults: The faults injected now; change them with ``set_faults``.
    """

    def __init__(
        self,
        *,
        port: int = 0,
        settings: engine_settings.EngineSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings or engine_settings.EngineSettings()
        self.batch = engine_batch.Batch(settings=self.settings, now=clock())
        self.faults = engine_faults.Faults()
        self._clock = clock
        self._streams = engine_streams.StreamTable()
        self._ids = itertools.count(1)
        self._loads: collections.deque[tuple[float, engine_batch.Load]] = (
            collections.deque(maxlen=_MAX_LOADS)
        )
        self._work = event.Event()
        self._stepper: gevent.Greenlet | None = None
        self._server = web.Server(app=self._routes(), port=port)

    @property
    def address(self) -> str:
        """``host:port`` of the engine."""
        return self._server.address

    def start(self) -> None:
        """Start listening and run the batch."""
        self._server.start()
        self._stepper = gevent.spawn(self._step_forever)

    def stop(self) -> None:
        """Stop and close all connections."""
        self._server.stop()
        if self._stepper is not None:
            self._stepper.kill()

    def set_faults(self, faults: engine_faults.Faults) -> None:
        """Replace the injected faults."""
        self.faults = faults
        if faults.crash:
            self.batch.crash(self._clock())
        if faults.turn_cold:
            self.batch.cold_start.turn_cold(self._clock())

    def _routes(self) -> web.Routes:
        routes = web.Routes()
        stream = "/v1/streams/(?P<stream_id>.+)"
        table = [
            ("POST", "/v1/chat/completions", self._complete),
            ("GET", stream, self._resume),
            ("DELETE", stream, self._cancel),
            ("GET", "/v1/load", self._load),
            ("GET", "/v1/cache_events", self._cache_events),
            ("GET", "/health", self._health),
            ("GET", "/standin/runs", self._runs),
            ("POST", "/standin/faults", self._inject_faults),
        ]
        for method, pattern, handler in table:
            routes.route(method, pattern)(handler)
        return routes

    def _step_forever(self) -> None:
        while True:
            now = self._clock()
            if not self._loads or now - self._loads[-1][0] > _POLL_SECONDS:
                self._loads.append((now, self.batch.load()))
            seconds = self.batch.begin_step(now)
            if seconds:
                gevent.sleep(seconds * self.faults.slow)
                self.batch.end_step()
            else:
                self._work.clear()
                self._work.wait(_POLL_SECONDS)

    def _complete(self, request: web.Request) -> web.Response:
        chat = completions.parse(request.body)
        if isinstance(chat, str):
            return self._error(400, chat)
        if not self.batch.is_up(self._clock()):
            return self._error(503, "engine is starting")
        if self.faults.fail:
            self.faults.fail -= 1
            return self._error(500, "engine failed")
        completion_id = request.header("X-Request-Id") or f"g{next(self._ids)}"
        if chat.stream:
            return self._complete_streaming(request, chat, completion_id)
        return self._complete_whole(request, chat, completion_id)

    def _generation(
        self,
        chat: completions.ChatRequest,
        notify: Callable[[engine_batch.Generation], None],
    ) -> engine_batch.Generation:
        prompt = chat.prompt
        if self.faults.cross:
            self.faults.cross -= 1
            prompt = "another request [marker=another]"
        limit = chat.max_tokens or text.MAX_TOKENS
        return engine_batch.Generation(
            prompt=prompt,
            tokens=text.make_tokens(prompt, limit),
            notify=notify,
        )

    def _submit(self, generation: engine_batch.Generation) -> bool:
        is_accepted = self.batch.submit(generation, self._clock())
        self._work.set()
        return is_accepted

    def _complete_whole(
        self,
        request: web.Request,
        chat: completions.ChatRequest,
        completion_id: str,
    ) -> web.Response:
        ended = event.Event()
        generation = self._generation(
            chat, lambda g: ended.set() if g.outcome else None
        )
        if not self._submit(generation):
            return self._error(500, "too much in the cold start")
        while not ended.wait(_POLL_SECONDS):
            if _is_disconnected(request.environ["standin.socket"]):
                self.batch.cancel(generation)
        if generation.outcome != engine_batch.DONE:
            return self._error(500, f"generation {generation.outcome}")
        if self.faults.break_off:
            self.faults.break_off -= 1
            request.break_connection()
        token_usage = completions.usage(
            generation.prompt, generation.emitted, generation.cached_tokens
        )
        completion = completions.make_completion(
            completion_id,
            chat.model,
            "".join(generation.tokens),
            "stop",
            token_usage,
        )
        return self._add_id_headers(
            web.json_response(completion), completion_id
        )

    def _complete_streaming(
        self,
        request: web.Request,
        chat: completions.ChatRequest,
        completion_id: str,
    ) -> web.Response:
        writer = completions.ChunkWriter(
            completion_id=completion_id, model=chat.model
        )
        stream = engine_streams.Stream(
            cancel=lambda: self.batch.cancel(generation)
        )
        on_progress = progress.StreamProgress(
            stream=stream,
            writer=writer,
            wants_usage=chat.wants_usage,
            faults=self.faults,
        )
        generation = self._generation(chat, on_progress)
        if not self._submit(generation):
            return self._error(500, "too much in the cold start")
        self._streams.add(completion_id, stream)
        return self._stream_response(request, stream, 0, completion_id)

    def _stream_response(
        self,
        request: web.Request,
        stream: engine_streams.Stream,
        offset: int,
        completion_id: str,
    ) -> web.Response:
        stream.readers += 1
        chunks = self._read_chunks(request, stream, offset)
        response = web.Response(headers=[_EVENT_STREAM], chunks=chunks)
        return self._add_id_headers(response, completion_id)

    def _read_chunks(
        self,
        request: web.Request,
        stream: engine_streams.Stream,
        offset: int,
    ) -> Iterator[bytes]:
        sock = request.environ["standin.socket"]
        try:
            while True:
                data = stream.read(offset)
                if data:
                    offset += len(data)
                    yield data
                elif stream.is_closed:
                    break
                elif _is_disconnected(sock):
                    return
                else:
                    stream.wait(_POLL_SECONDS * 5)
            if stream.is_broken:
                request.break_connection()
        finally:
            stream.readers -= 1
            grace = self.settings.resume_seconds
            gevent.spawn_later(grace, stream.cancel_unread)

    def _resume(self, request: web.Request, stream_id: str) -> web.Response:
        stream = self._streams.get(stream_id)
        if stream is None:
            return self._error(404, "no such stream")
        offset = request.query.get("from", "0")
        if not offset.isdigit() or int(offset) > len(stream.data):
            return self._error(416, f"from: {offset} is not in the stream")
        return self._stream_response(request, stream, int(offset), stream_id)

    def _cancel(self, request: web.Request, stream_id: str) -> web.Response:
        del request
        stream = self._streams.get(stream_id)
        if stream is None:
            return self._error(404, "no such stream")
        stream.cancel()
        return self._add_id_headers(web.Response(status=204), stream_id)

    def _load(self, request: web.Request) -> web.Response:
        del request
        until = self._clock() - self.settings.load_lag
        known = [load for at, load in self._loads if at <= until]
        load = (
            known[-1]
            if known
            else engine_batch.Load(
                running=0, waiting=0, slots=self.settings.slots, cached_tokens=0
            )
        )
        return self._add_id_headers(web.json_response(load._asdict()))

    def _cache_events(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "0")
        if not after.isdigit():
            return self._error(400, f"after: {after} is no number")
        events = self.batch.cache.events_after(int(after), self._clock())
        body = {"events": [entry._asdict() for entry in events]}
        return self._add_id_headers(web.json_response(body))

    def _health(self, request: web.Request) -> web.Response:
        del request
        is_up = self.batch.is_up(self._clock())
        return self._add_id_headers(web.Response(status=200 if is_up else 503))

    def _runs(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.batch.runs_by_marker)

    def _inject_faults(self, request: web.Request) -> web.Response:
        try:
            faults = msgspec.json.decode(
                request.body, type=engine_faults.Faults
            )
        except msgspec.DecodeError as error:
            return web.json_response({"error": str(error)}, 400)
        self.set_faults(faults)
        return web.json_response(faults)

    def _error(self, status: int, message: str) -> web.Response:
        body = {"error": {"message": message, "type": "engine"}}
        return self._add_id_headers(web.json_response(body, status))

    def _add_id_headers(
        self, response: web.Response, completion_id: str = ""
    ) -> web.Response:
        id_headers = [("X-Boot-Id", self.batch.cold_start.boot_id)]
        if completion_id:
            id_headers.append(("X-Request-Id", completion_id))
        return response._replace(headers=[*response.headers, *id_headers])


def _is_disconnected(sock: socket.socket) -> bool:
    """Return whether the peer has closed the connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return any(
        flags & (select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        for _, flags in poll.poll(0)
    )
