"""Deselects exactly the tests listed in ``KNOWN-RED.txt`` and prints them.

Each line of the file starts with the id of a test, followed by the observed
failure and the open issue. A deselected test is not changed.
"""

import pathlib

import pytest

_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_MAX_LINES = 3


def read_known_red() -> list[str]:
    """Return the non-empty lines of the file.

    Raises:
        UsageError: There are more than three lines.
    """
    lines = [line for line in _FILE.read_text().splitlines() if line.strip()]
    if len(lines) > _MAX_LINES:
        raise pytest.UsageError(f"KNOWN-RED.txt: more than {_MAX_LINES} lines")
    return lines


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the known failures, unless a test is selected by its id."""
    known_ids = {line.split()[0].rstrip(":") for line in read_known_red()}
    if any("::" in argument for argument in config.args):
        return
    selected = [item for item in items if item.nodeid not in known_ids]
    deselected = [item for item in items if item.nodeid in known_ids]
    config.hook.pytest_deselected(items=deselected)
    items[:] = selected


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the known failures."""
    for line in read_known_red():
        terminalreporter.write_line(f"known red: {line}")
