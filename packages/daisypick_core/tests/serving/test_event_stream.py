"""Complete events, in order, without duplicates."""

import pytest

from daisypick_core.serving import event_stream


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_events_are_complete_wherever_the_bytes_are_split():
    data = b"".join(map(_event, range(1, 6)))
    for split in range(len(data)):
        stream = event_stream.EventStream()
        assert stream.feed(data[:split]) + stream.feed(data[split:]) == data


def test_forwarded_event_is_skipped_after_restart():
    stream = event_stream.EventStream()
    stream.feed(_event(1) + _event(2))
    stream.restart()
    assert stream.feed(_event(2) + _event(3)) == _event(3)


def test_missing_event_raises_gap_error():
    stream = event_stream.EventStream()
    stream.feed(_event(1))
    with pytest.raises(event_stream.GapError):
        stream.feed(_event(3))


def test_events_up_to_the_callers_last_id_are_skipped():
    stream = event_stream.EventStream(last_id=7)
    assert stream.feed(_event(7) + _event(8)) == _event(8)
