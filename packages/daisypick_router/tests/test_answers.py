"""Lengths and paces of answers, and what routers tell the host of them."""

import time

import fakes
import gevent
import pytest

from daisypick_core.scheduling import hosts
from daisypick_core.scheduling import job
from daisypick_router import answer_progress
from daisypick_router import peer_messages

_EVENTS = 12


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


def _stream(server, connection, first, headers, body):
    fakes.begin_stream(server, connection, headers)
    after = int(headers.get("last-event-id", "0"))
    for number in range(after + 1, _EVENTS + 1):
        fakes.send_events(connection, [number])
        gevent.sleep(0.002)
    fakes.end_stream(connection)


def _start_fleet(store, *servers):
    """Return the host and a router that submits to it."""
    for server in servers:
        store.put("servers", server.name, server.describe())
    names = ("r-1", "r-2")
    routers = {name: fakes.start_router(store, name) for name in names}
    host = hosts.order_hosts("assist", dict.fromkeys(names, 1.0))[0]
    for router in routers.values():
        fakes.wait_for(
            lambda known=router: known.placing.find_host("assist") == host, 6.0
        )
    return routers.pop(host), *routers.values()


def _record_messages(host):
    """Return a list of what the host receives from now on."""
    received = []
    handle = host.peer_host.handle_message

    def _record(channel, message):
        received.append(message)
        handle(channel, message)

    host.peer_host.handle_message = _record
    return received


def _call_some(router, *, count=9, name="a"):
    for number in range(count):
        assert fakes.call(router, "/visit/1", attempt=f"{name}-{number}").whole


def _record_jobs(host):
    jobs = []
    submit = host.hosted.submit

    def _record(service, work, on_decision):
        jobs.append(work)
        submit(service, work, on_decision)

    host.hosted.submit = _record
    return jobs


def test_host_gets_the_length_of_a_request_and_its_pace(store):
    """Guards against a host that schedules without what routers know.

    After some answers of a route a request comes with its length, and each
    answer's pace before its end.
    """
    host, router = _start_fleet(
        store, fakes.FakeServer("e-1", "assist", _stream)
    )
    received = _record_messages(host)
    jobs = _record_jobs(host)
    _call_some(router)
    assert [work.expected_events for work in jobs[:8]] == [0.0] * 8
    assert abs(jobs[8].expected_events - _EVENTS) < 2.0
    assert jobs[8].high_events >= jobs[8].expected_events
    # A loop that is late makes a pace unknown.
    for turn in range(20):
        paces = [
            number
            for number, message in enumerate(received)
            if isinstance(message, peer_messages.Pace)
        ]
        if paces:
            break
        _call_some(router, count=1, name=f"b-{turn}")
        gevent.sleep(0.02)
    pace, end = received[paces[0] : paces[0] + 2]
    assert end == peer_messages.End(service="assist", key=pace.key)
    assert 0 < pace.events < _EVENTS
    assert 0.0 < pace.seconds < 1.5
    _call_some(router, count=1, name="c")
    text = router.metrics.write()
    assert 'answer_events_ratio_count{route="visit"} ' in text
    assert 'answers_predicted_total{length="within",route="visit"} ' in text
    assert 'answer_seconds_error_count{route="visit"} ' in text
    assert 'answer_ends_predicted_total{end="' in text


def test_host_of_an_older_version_ignores_lengths_and_paces(store, monkeypatch):
    """Guards against a fleet in which new routers break an older host."""
    for kind in ("expect", "pace"):
        monkeypatch.delitem(peer_messages.type_by_kind, kind)
    host, router = _start_fleet(
        store, fakes.FakeServer("e-1", "assist", _stream)
    )
    received = _record_messages(host)
    jobs = _record_jobs(host)
    _call_some(router, count=12)
    assert len(jobs) == 12
    assert not any(work.expected_events for work in jobs)
    assert "placed_alone_total" not in router.metrics.write()
    fakes.wait_for(
        lambda: (
            sum(isinstance(one, peer_messages.End) for one in received) == 12
        )
    )
    (engine,) = host.hosted.describe("assist")["engines"]
    assert engine["running"] == 0


def test_running_request_is_reported_with_its_length(store):
    """Guards against a new host that does not know how long requests run."""
    host, router = _start_fleet(
        store, fakes.FakeServer("e-1", "assist", fakes.stream_five)
    )
    known = []
    host.hosted.note_earlier_start = lambda service, work, server, **kwargs: (
        known.append(
            (work.key, work.expected_events, work.high_events, work.max_pause)
        )
    )
    service = router.discovery.configuration.service_by_name["assist"]
    now = time.monotonic()
    work = job.Job(
        key="a-1/0", router=router.settings.name, organisation="farm",
        parts=(), prompt_tokens=10, output_tokens=10, arrived_at=now,
        objective_at=now + 1.0, deadline_at=now + 5.0,
        expected_events=40.0, high_events=90.0, max_pause=0.4,
    )  # fmt: skip
    router.placing._report_start(service, work, "e-1")
    router.placing._report_start(
        service,
        work._replace(key="a-2/0", expected_events=0.0, high_events=0.0),
        "e-1",
    )
    fakes.wait_for(lambda: len(known) == 2)
    assert known == [("a-1/0", 40.0, 90.0, 0.4), ("a-2/0", 0.0, 0.0, 0.0)]


def test_resumed_stream_is_expected_to_be_what_is_left(store):
    """Guards against scheduling the rest of an answer as a whole one."""
    breaks = []

    def _break_once(server, connection, first, headers, body):
        if not breaks or "last-event-id" in headers:
            return _stream(server, connection, first, headers, body)
        breaks.pop()
        fakes.begin_stream(server, connection, headers)
        fakes.send_events(connection, range(1, 8))
        return "close"

    servers = [
        fakes.FakeServer(name, "assist", _break_once) for name in ("e-1", "e-2")
    ]
    for server in servers:
        store.put("servers", server.name, server.describe())
    router = fakes.start_router(store)
    _call_some(router)
    jobs = _record_jobs(router)
    breaks.append(True)
    assert fakes.call(router, "/visit/1", attempt="b").whole
    whole, rest = (work.expected_events for work in jobs)
    assert abs(whole - _EVENTS) < 2.0
    assert abs(rest - (_EVENTS - 7)) < 2.0


def _make_progress(*, late=(False, False), send_seconds=0.001, count=10):
    progress = answer_progress.AnswerProgress(last_event=None)
    silences = []
    for number in range(count):
        silences.append(
            progress.note_events(
                b"id: %d\n\n" % (number + 1),
                1.0 + number * 0.05,
                late=late[number > 0],
            )
        )
        progress.note_sent(send_seconds)
    return progress, silences


@pytest.mark.parametrize(
    ("changes", "is_known"),
    [
        ({}, True),
        ({"count": 8}, True),
        ({"count": 7}, False),
        ({"late": (True, False)}, False),
        ({"late": (False, True)}, False),
        ({"send_seconds": 0.3}, False),
    ],
)
def test_pace_is_known_only_if_it_is_the_servers(changes, is_known):
    """Guards against taking a busy router or slow caller for a slow engine."""
    progress, silences = _make_progress(**changes)
    assert (progress.pace is not None) == is_known
    if is_known:
        count = changes.get("count", 10)
        assert progress.pace.events == count - 1
        assert progress.pace.seconds == pytest.approx(0.05 * (count - 1))
        assert progress.pace.longest == pytest.approx(0.05)
        assert silences[1:] == pytest.approx([0.05] * (count - 1))
    if "send_seconds" in changes:
        assert not any(silences)


def test_events_read_with_the_first_one_count_as_the_first():
    """Guards against a pace that a router's late first read makes too fast."""
    progress = answer_progress.AnswerProgress(last_event=None)
    progress.note_events(b"id: 1\n\nid: 2\n\nid: 3\n\n", 1.0, late=False)
    progress.note_events(b"id: 4\n\n" * 6, 1.3, late=False)
    assert progress.pace.events == 6
