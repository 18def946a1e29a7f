"""Whole events, in order, once."""

import pytest

from daisypick_core.serving import event_stream


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_events_come_whole_however_they_are_cut():
    whole = b"".join(map(_event, range(1, 6)))
    for cut in range(len(whole)):
        stream = event_stream.EventStream()
        assert stream.feed(whole[:cut]) + stream.feed(whole[cut:]) == whole


def test_event_that_was_passed_on_is_left_out():
    stream = event_stream.EventStream()
    stream.feed(_event(1) + _event(2))
    stream.restart()
    assert stream.feed(_event(2) + _event(3)) == _event(3)


def test_gap_is_an_error():
    stream = event_stream.EventStream()
    stream.feed(_event(1))
    with pytest.raises(event_stream.GapError):
        stream.feed(_event(3))


def test_callers_last_event_counts():
    stream = event_stream.EventStream(last_id=7)
    assert stream.feed(_event(7) + _event(8)) == _event(8)
