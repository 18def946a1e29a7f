"""Roll-outs of a version: what callers, servers and the store's writes show."""

import itertools
import random
import time

import fakes
import gevent
import pytest

from daisypick_core.results import failure
from daisypick_core.rollout import state as states
from daisypick_router import peer_messages

_SHARE = 0.3
# Time limits of orders; good versions need the longer one on a busy machine.
_SECONDS = 6.0
_LONG_SECONDS = 12.0
_SERVERS = 4


@pytest.fixture
def store():
    found = fakes.FakeStore()
    found.put("config", "main", fakes.make_manifest())
    yield found
    found.server.stop()


class _Desk(fakes.FakeServer):
    """A plain server of a version.

    Attributes:
        version: Its version.
        failing: Share of its answers that are failures.
        seconds: How long it works on a request.
        ran: When it began each request, with its path.
    """

    def __init__(self, name, version, *, failing=0.0, seconds=0.01):
        super().__init__(name, "desk", _run_desk)
        self.version = version
        self.failing = failing
        self.seconds = seconds
        self.ran = []
        self.rng = random.Random(name)

    def describe(self, **changes):
        return super().describe(Version=self.version, **changes)


def _run_desk(server, connection, first, headers, body):
    server.ran.append((time.monotonic(), first.split(b" ")[1]))
    gevent.sleep(server.seconds)
    status = 500 if server.rng.random() < server.failing else 200
    common = {
        "Daisypick-Attempt-Id": headers["daisypick-attempt-id"],
        "Daisypick-Server-Seal": f"seal-{server.name}",
    }
    connection.sendall(fakes.write_answer(status, common, b"body"))


class _Load:
    """Callers that repeat requests on some paths.

    Attributes:
        answers: Status of each answer.
    """

    def __init__(self, routers, paths=("/reserve/1",), pause=0.02):
        self.answers = []
        self._numbers = itertools.count()
        self._greenlets = [
            gevent.spawn(self._run, router, path, pause)
            for router in routers
            for path in paths
            for _ in range(4)
        ]

    def _run(self, router, path, pause):
        while True:
            attempt = f"a-{next(self._numbers)}"
            answer = fakes.call(router, path, attempt=attempt)
            self.answers.append(answer.status)
            gevent.sleep(pause)

    def stop(self):
        gevent.killall(self._greenlets)


def _start_servers(store, version, **options):
    servers = [
        _Desk(f"{version}-{number}", version, **options)
        for number in range(_SERVERS)
    ]
    for server in servers:
        store.put("servers", server.name, server.describe())
    return servers


def _order(store, target="v2", seconds=_SECONDS):
    order = {"Service": "desk", "Target": target, "DurationS": seconds}
    store.put("rollouts", "desk", order)


def _find_state(store):
    status = store.objects["rollouts"]["desk"].get("Status") or {}
    return status.get("State")


def _count(servers, since=0.0):
    return sum(at >= since for server in servers for at, _ in server.ran)


@pytest.fixture
def load():
    """Start callers that end with the test."""
    loads = []

    def start_load(*arguments, **options):
        loads.append(_Load(*arguments, **options))
        return loads[-1]

    yield start_load
    for found in loads:
        found.stop()


def _start_routers(store, count=2):
    routers = [
        fakes.start_router(store, f"r-{number}", canary_share=_SHARE)
        for number in range(count)
    ]
    if count > 1:
        fakes.wait_for(
            lambda: all(
                router.membership.routers == count for router in routers
            )
        )
    return routers


def _wait_for_state(store, state, seconds=_LONG_SECONDS):
    fakes.wait_for(lambda: _find_state(store) == state, seconds)


def test_version_without_an_order_gets_nothing(store, load):
    """Guards against a new version that is used before it was ordered."""
    old = _start_servers(store, "v1")
    routers = _start_routers(store)
    gevent.sleep(0.5)
    new = _start_servers(store, "v2")
    running = load(routers)
    gevent.sleep(1.0)
    assert _count(old) > 20
    assert _count(new) == 0
    assert set(running.answers) == {200}


def test_good_version_succeeds_in_time_and_cuts_no_request(store, load):
    """Guards against a version that stays a canary, or a move that cuts."""
    old = _start_servers(store, "v1")
    routers = _start_routers(store)
    running = load(routers)
    new = _start_servers(store, "v2")
    gevent.sleep(0.5)
    ordered_at = time.monotonic()
    _order(store, seconds=_LONG_SECONDS)
    fakes.wait_for(lambda: _find_state(store) == "running")
    _wait_for_state(store, "succeeded")
    assert time.monotonic() - ordered_at < _LONG_SECONDS
    last = max(at for server in old for at, _ in server.ran)
    # A request that an old server still runs now would be cut.
    assert last < time.monotonic() - 0.01
    for server in old:
        server.crash()
        store.remove("servers", server.name)
    begin = len(running.answers)
    gevent.sleep(0.5)
    assert len(running.answers) > begin
    assert set(running.answers) == {200}
    assert _count(new, since=ordered_at) > 0
    assert [status["State"] for _, status in store.status_writes] == [
        "running",
        "succeeded",
    ]


@pytest.mark.parametrize(
    "fault", [{"failing": 1.0}, {"failing": 0.3}, {"seconds": 0.08}]
)
def test_bad_version_is_rolled_back_within_its_share(store, load, fault):
    """Guards against a bad version that callers get more than its share of."""
    old = _start_servers(store, "v1")
    routers = _start_routers(store)
    load(routers)
    new = _start_servers(store, "v2", **fault)
    gevent.sleep(0.5)
    ordered_at = time.monotonic()
    _order(store)
    _wait_for_state(store, "rolled_back")
    ended_at = time.monotonic()
    gevent.sleep(max(ordered_at + _SECONDS - ended_at, 0.5))
    sent = _count(new, ordered_at)
    assert sent <= _SHARE * (sent + _count(old, ordered_at))
    assert _count(new, ended_at + 0.5) == 0
    assert [status["State"] for _, status in store.status_writes] == [
        "running",
        "rolled_back",
    ]


def test_fault_of_one_route_only_is_found(store, load):
    """Guards against a fault that drowns in the traffic of other routes."""
    _start_servers(store, "v1")
    routers = _start_routers(store)
    load(routers, paths=("/reserve/1",))
    load(routers, paths=("/look/1",), pause=0.1)
    new = _start_servers(store, "v2")
    for server in new:
        server.script = _fail_looks
    gevent.sleep(0.5)
    _order(store)
    _wait_for_state(store, "rolled_back")


def _fail_looks(server, connection, first, headers, body):
    server.failing = 1.0 if b"/look/" in first else 0.0
    _run_desk(server, connection, first, headers, body)


def test_failing_servers_of_a_good_version_do_not_reject_it(store, load):
    """Guards against a good version that pays for one faulty server."""
    _start_servers(store, "v1")
    routers = _start_routers(store)
    load(routers)
    new = _start_servers(store, "v2")
    new[0].failing = 0.5
    gevent.sleep(0.5)
    _order(store, seconds=_LONG_SECONDS)
    _wait_for_state(store, "succeeded")


def test_target_without_servers_is_rolled_back_at_the_limit(store, load):
    """Guards against an order that stays running for ever."""
    old = _start_servers(store, "v1")
    routers = _start_routers(store)
    running = load(routers)
    _order(store, target="v9", seconds=2.0)
    _wait_for_state(store, "rolled_back", 3.0)
    assert set(running.answers) == {200}
    assert _count(old) > 20


def test_target_in_force_succeeds_at_once(store, load):
    """Guards against a test of the version that serves already."""
    _start_servers(store, "v1")
    routers = _start_routers(store)
    running = load(routers)
    _order(store, target="v1")
    _wait_for_state(store, "succeeded", 3.0)
    assert set(running.answers) == {200}


@pytest.mark.parametrize(
    "order",
    [
        {"Service": "desk", "Target": "v2", "DurationS": 0},
        {"Service": "desk", "Target": "v2", "DurationS": "12"},
        {"Service": "desk", "Target": "v2", "DurationS": True},
        {"Service": "desk", "DurationS": 12},
        {"Service": "other", "Target": "v2", "DurationS": 12},
        ["desk"],
        None,
    ],
)
def test_invalid_order_is_left_alone(store, order):
    """Guards against a router that stops at an order it cannot read."""
    _start_servers(store, "v1")
    (router,) = _start_routers(store, 1)
    store.put("rollouts", "desk", order)
    gevent.sleep(0.5)
    assert store.status_writes == []
    assert fakes.call(router, "/look/1", method="GET").status == 200


def test_order_while_the_store_is_away_at_the_end_ends_once(store, load):
    """Guards against a state that is lost, or written twice, in an outage."""
    _start_servers(store, "v1")
    routers = _start_routers(store)
    running = load(routers)
    _start_servers(store, "v2", failing=1.0)
    gevent.sleep(0.5)
    _order(store)
    fakes.wait_for(lambda: _find_state(store) == "running")
    store.refuse()
    gevent.sleep(2.5)
    failed = running.answers.count(500)
    gevent.sleep(0.5)
    # The traffic is taken back without the store.
    assert running.answers.count(500) == failed
    store.down = False
    _wait_for_state(store, "rolled_back", 4.0)
    assert [status["State"] for _, status in store.status_writes] == [
        "running",
        "rolled_back",
    ]


def test_router_that_starts_in_a_roll_out_keeps_to_it(store, load):
    """Guards against a router without a past that uses the new version."""
    old = _start_servers(store, "v1")
    routers = _start_routers(store)
    load(routers)
    new = _start_servers(store, "v2")
    gevent.sleep(0.5)
    for server in old[1:]:
        store.remove("servers", server.name)
    _order(store)
    fakes.wait_for(lambda: _find_state(store) == "running")
    late = fakes.start_router(store, "r-9", canary_share=_SHARE)
    fakes.wait_for(lambda: late.rollouts.find_in_force("desk") == "v1")
    since = time.monotonic()
    for number in range(20):
        fakes.call(late, "/reserve/1", attempt=f"late-{number}")
    sent = _count(new, since)
    assert sent <= _SHARE * (sent + _count(old, since)) + 1


def test_version_in_force_outlives_its_order_and_all_routers(store, load):
    """Guards against a fleet that starts anew and takes the old version."""
    old = _start_servers(store, "v1")
    routers = _start_routers(store)
    running = load(routers)
    _start_servers(store, "v2")
    gevent.sleep(0.5)
    _order(store, seconds=_LONG_SECONDS)
    _wait_for_state(store, "succeeded")
    fakes.wait_for(
        lambda: (
            store.objects["daisypick-versions"]["desk"]["Spec"]
            == {"version": "v2"}
        )
    )
    running.stop()
    store.remove("rollouts", "desk")
    late = fakes.make_router(store, "r-1", canary_share=_SHARE, processor=9.0)
    late.start()
    fakes.wait_for(lambda: late.rollouts.state_by_service)
    begin = _count(old)
    for number in range(10):
        fakes.call(late, "/reserve/1", attempt=f"late-{number}")
    assert _count(old) == begin


def test_earlier_order_that_a_restored_store_brings_back_is_not_repeated(
    store, load
):
    """Guards against a bad version that is tested again after a restore."""
    _start_servers(store, "v1")
    routers = _start_routers(store)
    load(routers)
    bad = _start_servers(store, "v2", failing=1.0)
    gevent.sleep(0.5)
    _order(store)
    fakes.wait_for(lambda: _find_state(store) == "running")
    backup = store.copy()
    _wait_for_state(store, "rolled_back")
    _order(store, target="v3", seconds=1.5)
    fakes.wait_for(lambda: _find_state(store) == "running")
    _wait_for_state(store, "rolled_back")
    store.restore(backup)
    restored_at = time.monotonic()
    fakes.wait_for(lambda: _find_state(store) == "rolled_back", 6.0)
    gevent.sleep(1.0)
    assert _count(bad, restored_at) == 0


def test_state_of_versions_without_servers_is_dropped(store):
    """Guards against memory that grows with each version ever rolled out."""
    server = fakes.FakeServer("i-0", "assist", fakes.stream_five)
    store.put("servers", "i-0", server.describe(Version="v0"))
    (router,) = _start_routers(store, 1)
    for number in range(1, 4):
        fakes.call(router, "/visit/1", attempt=f"a-{number}")
        store.put("servers", "i-0", server.describe(Version=f"v{number}"))
        fakes.wait_for(
            lambda version=f"v{number}": (
                router.rollouts.find_in_force("assist") == version
            )
        )
    fakes.call(router, "/visit/1", attempt="a-9")
    fakes.wait_for(
        lambda: list(router.placing._host_by_service) == ["assist@v3"], 4.0
    )
    assert list(router.hosted._scheduler_by_service) == ["assist@v3"]
    assert list(router.placing._placements_by_service) == ["assist@v3"]


def test_silent_store_does_not_delay_the_stop(store, load):
    """Guards against a bad version that is used until a call times out."""
    _start_servers(store, "v1")
    routers = _start_routers(store)
    load(routers)
    new = _start_servers(store, "v2")
    gevent.sleep(0.5)
    _order(store, seconds=_LONG_SECONDS)
    fakes.wait_for(lambda: _find_state(store) == "running")
    store.hanging = True
    gevent.sleep(0.5)
    for server in new:
        server.failing = 1.0
    turned_at = time.monotonic()
    gevent.sleep(4.0)
    assert _count(new, turned_at) >= 4
    assert _count(new, turned_at + 3.0) == 0


def test_order_after_one_that_was_rolled_back_has_its_own_time(store, load):
    """Guards against an order whose time limit counts from the one before."""
    _start_servers(store, "v1")
    routers = _start_routers(store)
    load(routers)
    _order(store, target="v9", seconds=1.5)
    _wait_for_state(store, "rolled_back")
    gevent.sleep(1.5)
    _start_servers(store, "v2")
    _order(store, target="v2", seconds=_LONG_SECONDS)
    fakes.wait_for(lambda: _find_state(store) == "running")
    gevent.sleep(0.5)
    assert routers[0].rollouts.find_age("desk") < 1.5
    _wait_for_state(store, "succeeded")


def test_unknown_phase_of_another_router_is_an_invalid_message():
    """Guards against a router of a later version that ends connections."""
    line = b'["rollout","desk",0,7,"v1","v2","7",12.0,9,0.5]'
    found = peer_messages.decode(line)
    assert failure.is_failure(found)
    known = peer_messages.decode(line.replace(b"9,", b"3,"))
    assert peer_messages.encode(known).rstrip() == line.replace(b"9,", b"3,")


def test_request_that_waited_goes_to_the_version_that_is_in_force_now(store):
    """Guards against starting at an old server that stops after the move."""
    for version in ("v1", "v2"):
        server = fakes.FakeServer(f"i-{version}", "assist", fakes.stream_five)
        store.put("servers", server.name, server.describe(Version=version))
    (router,) = _start_routers(store, 1)
    fakes.wait_for(lambda: "assist" in router.rollouts.state_by_service)
    acquire = router.placing.acquire
    chosen = []

    def _acquire(service, work):
        action = acquire(service, work)
        chosen.append(action.server)
        state = router.rollouts.state_by_service["assist"]
        router.rollouts.merge(
            state._replace(
                number=(0, 10**6), target="v2", phase=states.Phase.MOVING
            ),
            age=0.0,
        )
        return action

    router.placing.acquire = _acquire
    answer = fakes.call(router, "/visit/1")
    assert answer.status == 200
    assert chosen == ["i-v1", "i-v2"]
    assert answer.headers["daisypick-server-seal"] == "seal-i-v2"


def test_stream_of_a_version_that_is_not_in_force_is_refused(store):
    """Guards against events of two versions when a roll-out has moved on."""
    for version in ("v1", "v2"):
        server = fakes.FakeServer(version, "assist", fakes.stream_five)
        store.put("servers", version, server.describe(Version=version))
    (router,) = _start_routers(store, 1)
    router.stream_registry.receive(
        peer_messages.Began(service="assist", version="v2", attempts=("a-2",))
    )
    router.stream_registry.receive(
        peer_messages.Began(service="assist", version="v1", attempts=("a-1",))
    )
    for attempt, status in (("a-1", 200), ("a-2", 503)):
        answer = fakes.call(
            router,
            "/visit/1",
            attempt=f"{attempt}-again",
            Last_Event_Id="2",
            Resumes=attempt,
        )
        assert answer.status == status
