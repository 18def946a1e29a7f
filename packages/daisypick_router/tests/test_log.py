"""Which log lines are dropped, and that they are counted."""

import json
import os

from daisypick_router import log as logs


def _write_all(log):
    """Return the lines that a flush writes."""
    written = []

    def _write(descriptor, data):
        del descriptor
        written.append(data)
        return len(data)

    os_write, os.write = os.write, _write
    try:
        log.flush()
    finally:
        os.write = os_write
    return [json.loads(line) for line in b"".join(written).splitlines()]


def test_load_spike_does_not_hide_lines_about_the_process(
    monkeypatch,
):
    """Guards against a load spike that drops the line which explains it.

    Lines about requests beyond the limit per second are dropped and counted;
    the line that the process is overloaded is written.
    """
    # All lines fall into one second, since the limit applies per second.
    monkeypatch.setattr(logs.time, "time", lambda: 1000.5)
    log = logs.Log(process="r-1")
    for number in range(1000):
        log.write("serve", "Refused.", id=number)
    log.write("process", "Overloaded; not ready.")
    lines = _write_all(log)
    says = [line["say"] for line in lines]
    assert says.count("Overloaded; not ready.") == 1
    assert says.count("Refused.") == 400
    assert lines[-1]["lines"] == 600


def test_output_that_takes_nothing_costs_bounded_memory(monkeypatch):
    """Guards against lines that are kept without a bound while nobody reads."""
    taken = []

    def _refuse(descriptor, data):
        raise BlockingIOError

    def _take(descriptor, data):
        taken.append(bytes(data[:1000]))
        return min(len(data), 1000)

    log = logs.Log(process="r-1")
    monkeypatch.setattr(logs.os, "write", _refuse)
    for number in range(30_000):
        log.write("process", "Load.", number=number)
        if number % 100 == 0:
            log.flush()
    kept = len(log._unwritten) + sum(map(len, log._lines))
    assert kept < 2 * 2000 * 200
    monkeypatch.setattr(logs.os, "write", _take)
    while log._lines or log._unwritten:
        log.flush()
    lines = [json.loads(line) for line in b"".join(taken).splitlines()]
    dropped = sum(line["lines"] for line in lines if line["part"] == "log")
    assert len([line for line in lines if line["part"] == "process"]) == (
        30_000 - dropped
    )


def test_long_text_is_clipped():
    """Guards against lines as long as what a caller has sent."""
    log = logs.Log(process="r")
    log.write("serve", "Refused.", reason="x" * 50_000, id="a")
    (line,) = _write_all(log)
    assert len(line["reason"]) < 1100
    assert line["id"] == "a"
