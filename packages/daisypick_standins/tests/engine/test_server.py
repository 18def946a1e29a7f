import gevent
from geventhttpclient import client as http_client
from geventhttpclient import response as http_response
import msgspec
import pytest

from daisypick_standins.engine import faults as engine_faults
from daisypick_standins.engine import server
from daisypick_standins.engine import settings as engine_settings
from daisypick_standins.engine import text

FAST = engine_settings.EngineSettings(
    token_interval=0.001, load_lag=0.0, resume_seconds=0.0
)


@pytest.fixture
def engine():
    subject = server.Engine(settings=FAST)
    subject.start()
    with gevent.Timeout(20):
        yield subject
    subject.set_faults(engine_faults.Faults())
    subject.stop()


def _client(engine):
    host, port = engine.address.split(":")
    return http_client.HTTPClient(host, int(port), concurrency=9)


def _post_completion(engine, marker, tokens=8, request_id="r1", **fields):
    content = f"Plan a visit [marker={marker} tokens={tokens}]"
    body = {"model": "pine", "messages": [{"content": content}]} | fields
    return _client(engine).post(
        "/v1/chat/completions",
        msgspec.json.encode(body),
        {"X-Request-Id": request_id},
    )


def _read_stream(data):
    events = [line for line in data.split(b"\n\n") if line]
    assert events.pop() == b"data: [DONE]"
    chunks = [msgspec.json.decode(e.removeprefix(b"data: ")) for e in events]
    content = "".join(
        choice["delta"].get("content", "")
        for chunk in chunks
        for choice in chunk["choices"]
    )
    return content, chunks


def test_whole_response(engine):
    response = _post_completion(engine, "m1")
    body = msgspec.json.decode(response.read())
    content = body["choices"][0]["message"]["content"]
    assert text.check(content, "m1") == ""
    assert body["usage"]["completion_tokens"] == 8
    assert response["x-boot-id"] == engine.batch.cold_start.boot_id
    assert response["x-request-id"] == "r1"
    assert engine.batch.runs_by_marker == {"m1": 1}


def test_stream_can_be_resumed_from_an_offset(engine):
    options = {"include_usage": True}
    response = _post_completion(
        engine, "m1", stream=True, stream_options=options
    )
    data = response.read()
    content, chunks = _read_stream(data)
    assert text.check(content, "m1") == ""
    assert chunks[-1]["usage"]["completion_tokens"] == 8
    resumed = _client(engine).get("/v1/streams/r1?from=100").read()
    assert resumed == data[100:]
    assert _client(engine).get("/v1/streams/r2").status_code == 404
    assert _client(engine).get("/v1/streams/r1?from=-1").status_code == 416


def test_broken_stream_has_no_end_marker(engine):
    # The engine breaks off in the middle of a stream. The reader must see a
    # chunked body without its last chunk, not one that looks complete.
    engine.set_faults(engine_faults.Faults(break_off=1))
    response = _post_completion(engine, "m1", stream=True)
    with pytest.raises(http_response.HTTPParseError):
        response.read()
    stream = _client(engine).get("/v1/streams/r1")
    assert b"[DONE]" not in stream.read(100)


def test_closed_connection_cancels_the_generation(engine):
    # A caller disconnects in the middle of a long response, streamed or
    # whole: its slot must be released long before the response would end.
    response = _post_completion(engine, "m1", tokens=4096, stream=True)
    response.read(200)
    response.release()
    whole = gevent.spawn(_post_completion, engine, "m2", tokens=4096)
    while engine.batch.runs_by_marker["m2"] == 0:
        gevent.sleep(0.001)
    whole.kill()
    while engine.batch.load().running:
        gevent.sleep(0.001)
    assert engine.batch.cancelled_count == 2


def test_injected_crash_breaks_streams(engine):
    response = _post_completion(engine, "m1", tokens=4096, stream=True)
    engine.set_faults(engine_faults.Faults(crash=True))
    with pytest.raises(http_response.HTTPParseError):
        response.read()
    assert _post_completion(engine, "m2").status_code == 503


def test_answer_to_another_request_is_detected(engine):
    engine.set_faults(engine_faults.Faults(cross=1))
    body = msgspec.json.decode(_post_completion(engine, "m1").read())
    content = body["choices"][0]["message"]["content"]
    assert text.check(content, "m1") == "answer to another, not to m1"


def test_bad_requests_are_refused(engine):
    client = _client(engine)
    assert client.post("/v1/chat/completions", b"{").status_code == 400
    assert client.get("/v1/cache_events?after=x").status_code == 400
    assert client.get("/nothing").status_code == 404
    load = msgspec.json.decode(client.get("/v1/load").read())
    assert load["slots"] == 8
