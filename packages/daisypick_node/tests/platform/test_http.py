import gevent
import pytest

from daisypick_core.results import codes
from daisypick_node.platform import budget as call_budget
from daisypick_node.platform import http
from daisypick_node.platform import interface
from daisypick_standins.platform import faults
from daisypick_standins.platform import server


@pytest.fixture
def platform():
    subject = server.Platform()
    subject.start()
    with gevent.Timeout(20):
        yield subject
    subject.set_faults(faults.Faults())
    subject.stop()


@pytest.fixture
def client(platform):
    subject = interface.by_name["http"](address=platform.address, timeout=0.5)
    yield subject
    subject.close()


def test_object_calls_check_versions(client):
    missing = client.get("status", "a/b ü")
    assert missing.code == codes.NOT_FOUND
    first = client.put("status", "a/b ü", b"\x00\xff", if_version=None)
    assert client.get("status", "a/b ü") == first
    again = client.put("status", "a/b ü", b"x", if_version=None)
    assert again.code == codes.PLATFORM_CONFLICT
    second = client.put("status", "a/b ü", b"", if_version=first.version)
    assert client.get("status", "a/b ü") == second
    assert client.list_names("status", "a/") == ["a/b ü"]
    stale = client.delete("status", "a/b ü", if_version=first.version)
    assert stale.code == codes.PLATFORM_CONFLICT
    assert client.delete("status", "a/b ü", if_version=second.version) is None
    gone = client.delete("status", "a/b ü", if_version=second.version)
    assert gone.code == codes.NOT_FOUND
    large = client.put("status", "b", bytes((1 << 20) + 1), if_version=None)
    assert large.code == codes.BAD_VALUE


def test_watch_returns_a_write_and_times_out(platform, client):
    first = client.put("root", "r", b"1", if_version=None)
    waiting = gevent.spawn(
        client.watch, "root", "r", after_version=first.version, timeout=30
    )
    while not platform.waiting_watches:
        gevent.sleep(0)
    second = client.put("root", "r", b"2", if_version=first.version)
    assert waiting.get() == second
    after = second.version
    assert client.watch("root", "r", after_version=after, timeout=0) is None
    assert platform.calls_by_kind == {"put": 2, "watch": 2}


@pytest.mark.parametrize(
    "fault", ["lose_answers", "lose_silently", "server_errors"]
)
def test_response_lost_after_a_write_was_applied(platform, client, fault):
    # The store applies the write, then the connection closes, stops responding
    # or a gateway returns 500. The library would resend the PUT and get
    # "conflict", which means "certainly not written". The client must return
    # "answer lost", and the platform must have received only one PUT.
    platform.set_faults(faults.Faults(**{fault: 1}))
    lost = client.put("claim", "c", b"mine", if_version=None)
    assert lost.code == codes.PLATFORM_ANSWER_LOST
    assert client.get("claim", "c").value == b"mine"
    assert platform.calls_by_kind["put"] == 1
    version = client.get("claim", "c").version
    platform.set_faults(faults.Faults(**{fault: 1}))
    lost = client.delete("claim", "c", if_version=version)
    assert lost.code == codes.PLATFORM_ANSWER_LOST
    assert client.get("claim", "c").code == codes.NOT_FOUND


def test_write_in_an_outage_is_certainly_not_applied(platform, client):
    # During an outage the platform returns 503 or refuses connections. In both
    # cases nothing is written, and the failure must report that.
    platform.set_faults(faults.Faults(outage=faults.UNAVAILABLE))
    refused = client.put("claim", "c", b"mine", if_version=None)
    assert refused.code == codes.PLATFORM_UNAVAILABLE
    platform.set_faults(faults.Faults())
    assert client.get("claim", "c").code == codes.NOT_FOUND
    platform.stop()
    refused = client.put("claim", "c", b"mine", if_version=None)
    assert refused.code == codes.PLATFORM_UNAVAILABLE
    assert client.get("claim", "c").code == codes.PLATFORM_UNAVAILABLE
    platform.start()
    assert client.get("claim", "c").code == codes.NOT_FOUND


def test_aborted_write_is_a_conflict(platform, client):
    platform.set_faults(faults.Faults(abort_writes=1))
    aborted = client.put("claim", "c", b"mine", if_version=None)
    assert aborted.code == codes.PLATFORM_CONFLICT
    assert client.get("claim", "c").code == codes.NOT_FOUND


def test_unresponsive_platform_does_not_exhaust_the_pool(platform, client):
    # The platform responds to no call. Each of many concurrent calls must
    # fail, and their connections must be released, so that a later call
    # works.
    platform.set_faults(faults.Faults(outage=faults.SILENT))
    calls = [gevent.spawn(client.get, "claim", "c") for _ in range(16)]
    assert {call.get().code for call in calls} == {codes.PLATFORM_UNAVAILABLE}
    platform.set_faults(faults.Faults())
    assert client.get("claim", "c").code == codes.NOT_FOUND


def test_exhausted_budget_sends_nothing(platform):
    now = [0.0]
    budget = call_budget.CallBudget(rate=1.0, burst=1.0, clock=lambda: now[0])
    client = http.HttpPlatformClient(address=platform.address, budget=budget)
    assert client.list_vms() == []
    spent = client.put("claim", "c", b"mine", if_version=None)
    assert spent.code == codes.PLATFORM_BUDGET_SPENT
    assert spent.retry_after == 1.0
    assert platform.calls_by_kind == {"vms": 1}
    now[0] = 1.0
    assert client.list_vms() == []
    assert client.counters.count_by_call_and_outcome == {
        ("vms", "ok"): 2,
        ("put", "7004"): 1,
    }


def test_invalid_address_is_named_in_the_error():
    with pytest.raises(ValueError, match="address: 'platform'"):
        http.HttpPlatformClient(address="platform")
