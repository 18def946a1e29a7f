"""Signals that reach the daemons from outside."""

import pathlib
import signal
import subprocess
import sys
import time

import pytest

_SECONDS = 30.0

# Libraries that the daemon loads early and late in its start, both after its
# first line; no machine is so quick that it passes them before it listens.
_EARLY = "_greenlet."
_LATE = "_pydantic_core."


@pytest.fixture
def start():
    """Start daemons that end with the test, however it ends."""
    processes = []

    def start_daemon(kind):
        processes.append(_start(kind))
        return processes[-1]

    yield start_daemon
    for process in processes:
        process.kill()
        process.communicate()


def _start(kind):
    arguments = [
        *("--listen", "127.0.0.1:0", "--data-centre", "dc0"),
        *("--platform", "127.0.0.1:1"),
        *("--fleet-keys", "fleet-key-of-tests"),
        *("--operator-keys", "operator-key-of-tests"),
    ]
    if kind == "agent":
        arguments += ["--name", "desk-0"]
    return subprocess.Popen(
        [sys.executable, "-m", "daisypick_node", kind, *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )


def _wait_library(process, name):
    path = pathlib.Path(f"/proc/{process.pid}/maps")
    until = time.monotonic() + _SECONDS
    while name not in path.read_text():
        assert process.poll() is None
        assert time.monotonic() < until


@pytest.mark.parametrize("kind", ["router", "agent"])
@pytest.mark.parametrize("library", [_EARLY, _LATE])
def test_hangup_during_the_start_does_not_end_a_daemon(start, kind, library):
    """Guards against a daemon that a hangup ends without a drain."""
    process = start(kind)
    _wait_library(process, library)
    process.send_signal(signal.SIGHUP)
    assert process.stderr.readline().startswith(b"listening on")
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
        time.sleep(0.001)
    assert process.returncode == 0
