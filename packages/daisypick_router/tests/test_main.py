"""The start of the program."""

import subprocess
import sys

# Sends SIGHUP to itself when the router's modules begin to be imported.
_PROGRAM = """
import os, runpy, signal, sys

class Hangup:
    def find_spec(self, name, path, target=None):
        if name == "daisypick_router.process":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Hangup())
runpy.run_module("daisypick_router", run_name="__main__")
"""


def test_reload_signal_during_the_start_does_not_end_the_process(monkeypatch):
    """Guards against a router that ends when its settings change at once."""
    monkeypatch.delenv("DAISYPICK_NODE_FILE", raising=False)
    ended = subprocess.run(
        [sys.executable, "-c", _PROGRAM], capture_output=True, timeout=30.0
    )
    assert ended.returncode == 2
    assert b"DAISYPICK_NODE_FILE is not set" in ended.stdout
