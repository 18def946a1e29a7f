"""When a process reports not ready because of overload, and ready again."""

from daisypick_core.serving import overload as overloads


def _feed(overload, lag, *, begin, count):
    now = begin
    for _ in range(count):
        now += 0.05 + lag
        overload.note_lag(lag, now)
    return now


def test_single_freeze_is_no_overload():
    overload = overloads.Overload()
    overload.note_lag(5.0, 5.0)
    assert overload.is_ready
    _feed(overload, 0.0, begin=5.0, count=100)
    assert overload.is_ready


def test_lasting_lag_closes_connections_only_after_the_readiness_probes():
    """Guards against callers that reconnect to the same overloaded VM.

    A traffic spike arrives on persistent connections of one small VM. Closed
    at once, its callers would return while the platform still lists the VM as
    ready.
    """
    overload = overloads.Overload()
    began = _feed(overload, 0.3, begin=0.0, count=3)
    assert not overload.is_ready
    assert not overload.closes_connections(began + 1.0)
    later = _feed(overload, 0.3, begin=began, count=8)
    assert later - began > 2.5
    assert overload.closes_connections(later)


def test_process_is_ready_again_only_after_the_minimum_time():
    overload = overloads.Overload()
    began = _feed(overload, 0.3, begin=0.0, count=3)
    recovered = _feed(overload, 0.0, begin=began, count=60)
    assert recovered - began < 4.0
    assert not overload.is_ready
    assert not overload.closes_connections(recovered)
    _feed(overload, 0.0, begin=recovered, count=40)
    assert overload.is_ready
