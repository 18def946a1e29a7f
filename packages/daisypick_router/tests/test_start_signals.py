"""Signals that reach the router's process from outside while it starts."""

import collections
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import tomllib

import pytest

_ROOT = pathlib.Path(__file__).parents[3]
_MOMENTS_MS = (0, 2, 5, 10, 15, 20, 25, 30, 50, 100, 200, 400)
_SHARES = (0, 0.01, 0.03, 0.06, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8)
_REFERENCE_STARTS = 3
_MOST_STARTS_PER_MOMENT = 30
_STARTS_PER_MOMENT = 3
_EXIT_SECONDS = 20.0
_BAD_SETTINGS = 2

_SETTINGS = """\
NodeName = "r-1"
Ip = "{ip}"
Zone = "a"
InternalPorts = [17400, 17400]
[Listen]
Front = "{ip}:0"
Ready = "{ip}:0"
[Limits]
MaxFds = 400
[Bounds]
GraceS = 3
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = {extra}
[Provider]
Address = "127.0.0.1:1"
"""


def find_command():
    """Return the program and arguments that the platform starts.

    Python and the router's program are those of the tests' environment.
    """
    text = (_ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    run = tomllib.loads(text)["roles"]["router"]["run"]
    program = pathlib.Path(sys.executable).with_name("daisypick-router")
    by_word = {
        "python3": sys.executable,
        "target/bin/daisypick-router": str(program),
    }
    return [by_word.get(word, word) for word in run.split()]


@pytest.fixture
def start():
    """Start programs that end with the test, however it ends."""
    processes = []

    def start_program(*arguments, **named):
        processes.append(_start(*arguments, **named))
        return processes[-1]

    yield start_program
    for process in processes:
        process.kill()
        process.communicate()


def _start(settings=None, output=subprocess.DEVNULL):
    """Start the program, without settings if no path is given."""
    environment = dict(os.environ)
    environment.pop("DAISYPICK_NODE_FILE", None)
    if settings is not None:
        environment["DAISYPICK_NODE_FILE"] = str(settings)
    return subprocess.Popen(
        find_command(),
        cwd=_ROOT,
        env=environment,
        stdout=output,
        stderr=subprocess.DEVNULL,
    )


def start_and_signal(start, number, delay_ms):
    """Start the program without settings; return its exit code."""
    process = start()
    time.sleep(delay_ms / 1000)
    process.send_signal(number)
    return process.wait(_EXIT_SECONDS)


def read_processor_seconds(process):
    """Return the processor time that a process, or a zombie, has used."""
    statistics = pathlib.Path(f"/proc/{process.pid}/schedstat")
    return int(statistics.read_text().split()[0]) / 1e9


def has_ended(process):
    """Tell whether a process has ended, and leave it as a zombie."""
    options = os.WEXITED | os.WNOHANG | os.WNOWAIT
    return os.waitid(os.P_PID, process.pid, options) is not None


def wait_interpreter(process):
    """Wait until the interpreter is loaded; return the time used so far."""
    maps = pathlib.Path(f"/proc/{process.pid}/maps")
    until = time.monotonic() + _EXIT_SECONDS
    while "libpython" not in maps.read_text():
        assert not has_ended(process)
        assert time.monotonic() < until
    return read_processor_seconds(process)


def wait_moment(process, seconds):
    """Wait until the loaded interpreter has used some processor time.

    Processor time, unlike time, does not change much with load.

    Returns:
        Whether the process is still running.
    """
    used = wait_interpreter(process)
    until = time.monotonic() + _EXIT_SECONDS
    while read_processor_seconds(process) - used < seconds:
        if has_ended(process):
            return False
        assert time.monotonic() < until
    return not has_ended(process)


@pytest.fixture(scope="module")
def start_seconds():
    """Processor time of the quickest of some starts without settings."""
    seconds = []
    for _ in range(_REFERENCE_STARTS):
        process = _start()
        try:
            used = wait_interpreter(process)
            until = time.monotonic() + _EXIT_SECONDS
            while not has_ended(process):
                assert time.monotonic() < until
                time.sleep(0.001)
            seconds.append(read_processor_seconds(process) - used)
        finally:
            process.kill()
            process.wait()
    return min(seconds)


def count_ended(start, number, moments_ms):
    """Count the starts that the signal ended, by the moment it was sent."""
    ended_by_moment = collections.Counter()
    for moment_ms in moments_ms:
        for _ in range(_STARTS_PER_MOMENT):
            if start_and_signal(start, number, moment_ms) == -number:
                ended_by_moment[moment_ms] += 1
    return ended_by_moment


def test_reload_signal_at_any_moment_of_the_start_does_not_end_the_process(
    start,
):
    """Guards against a router that ends when its settings change at once."""
    assert count_ended(start, signal.SIGHUP, _MOMENTS_MS) == {}


@pytest.mark.parametrize("share", _SHARES)
def test_reload_signals_in_the_interpreters_start_are_survived(
    start, start_seconds, share
):
    """Guards against the signal's default action before the first line."""
    signalled = 0
    for _ in range(_MOST_STARTS_PER_MOMENT):
        process = start()
        is_running = wait_moment(process, share * start_seconds)
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        assert process.wait(_EXIT_SECONDS) == _BAD_SETTINGS
        # A start that was quicker than the share took no signal.
        signalled += is_running
        if signalled == _STARTS_PER_MOMENT:
            return
    pytest.fail(f"{signalled} starts were signalled")


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "node.toml"
    write_settings(path, extra=10)
    return path


def write_settings(path, extra):
    # An address of its own lets tests run beside each other.
    pid = os.getpid()
    ip = f"127.{64 + pid // 256 % 128}.{pid % 256}.200"
    path.write_text(_SETTINGS.format(ip=ip, extra=extra))


def read_until(process, text):
    """Read log lines until one of them contains a text."""
    for line in process.stdout:
        if text in line:
            return
    pytest.fail(f"the process ended before it logged {text}")


@pytest.mark.parametrize("share", [0, 0.2, 0.8])
def test_reload_signals_during_the_start_reload_the_settings(
    start, start_seconds, settings, share
):
    """Guards against a change that is lost because its signal came early."""
    process = start(settings, output=subprocess.PIPE)
    watchdog = threading.Timer(_EXIT_SECONDS, process.kill)
    watchdog.start()
    assert wait_moment(process, share * start_seconds)
    for extra in (20, 30, 40):
        write_settings(settings, extra)
        process.send_signal(signal.SIGHUP)
    read_until(process, b"Reloaded the settings.")
    process.send_signal(signal.SIGTERM)
    read_until(process, b"Stopped.")
    assert process.wait(_EXIT_SECONDS) == 0
    watchdog.cancel()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_while_the_process_ends_leave_its_exit_code(
    start, settings, number
):
    """Guards against a graceful stop that is reported as a crash."""
    process = start(settings, output=subprocess.PIPE)
    watchdog = threading.Timer(_EXIT_SECONDS, process.kill)
    watchdog.start()
    read_until(process, b"Started.")
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        process.send_signal(number)
        time.sleep(0.0002)
    assert process.wait() == 0
    watchdog.cancel()


def test_signals_that_a_supervisor_has_blocked_reach_the_router(
    start, settings
):
    """Guards against a router that is deaf to the signal to stop."""
    both = {signal.SIGHUP, signal.SIGTERM}
    before = signal.pthread_sigmask(signal.SIG_BLOCK, both)
    try:
        process = start(settings, output=subprocess.PIPE)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    watchdog = threading.Timer(_EXIT_SECONDS, process.kill)
    watchdog.start()
    read_until(process, b"Started.")
    process.send_signal(signal.SIGHUP)
    read_until(process, b"Reloaded the settings.")
    process.send_signal(signal.SIGTERM)
    assert process.wait(_EXIT_SECONDS) == 0
    watchdog.cancel()
