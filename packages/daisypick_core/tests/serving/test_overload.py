"""When a process takes itself out of rotation, and when it comes back."""

from daisypick_core.serving import overload as overloads


def _feed(overload, lag, *, begin, count):
    now = begin
    for _ in range(count):
        now += 0.05 + lag
        overload.note_lag(lag, now)
    return now


def test_one_freeze_is_no_overload():
    overload = overloads.Overload()
    overload.note_lag(5.0, 5.0)
    assert overload.is_ready
    _feed(overload, 0.0, begin=5.0, count=100)
    assert overload.is_ready


def test_lasting_lag_ends_connections_only_after_the_platform_took_note():
    """A flood arrives on kept connections of one small VM.

    Ending them at once would bring their callers back to the same VM, which
    the platform still counts as ready.
    """
    overload = overloads.Overload()
    began = _feed(overload, 0.3, begin=0.0, count=3)
    assert not overload.is_ready
    assert not overload.ends_connections(began + 1.0)
    later = _feed(overload, 0.3, begin=began, count=8)
    assert later - began > 2.5
    assert overload.ends_connections(later)


def test_it_is_ready_again_after_some_seconds_without_lag():
    overload = overloads.Overload()
    began = _feed(overload, 0.3, begin=0.0, count=3)
    calm = _feed(overload, 0.0, begin=began, count=60)
    assert calm - began < 4.0
    assert not overload.is_ready
    assert not overload.ends_connections(calm)
    _feed(overload, 0.0, begin=calm, count=40)
    assert overload.is_ready
