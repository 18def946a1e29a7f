"""Passes over the tests in ``KNOWN-RED.txt``, just these, and prints them.

Each line of the file names a test first, then what was seen and the open
issue. A test that is passed over stays as it was written.
"""

import pathlib

import pytest

_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_MOST = 3


def read_known_red() -> list[str]:
    """Return the lines of the file.

    Raises:
        UsageError: There are more than three.
    """
    lines = [line for line in _FILE.read_text().splitlines() if line.strip()]
    if len(lines) > _MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: more than {_MOST} lines")
    return lines


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Pass over the known ones, unless they are asked for by name."""
    red = {line.split()[0].rstrip(":") for line in read_known_red()}
    if any("::" in argument for argument in config.args):
        return
    kept = [item for item in items if item.nodeid not in red]
    known = [item for item in items if item.nodeid in red]
    config.hook.pytest_deselected(items=known)
    items[:] = kept


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the known ones."""
    for line in read_known_red():
        terminalreporter.write_line(f"known red: {line}")
