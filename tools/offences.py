"""Runs a check over the Python files of folders and prints the offences."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import pathlib


def report(
    folders: Iterable[str],
    find: Callable[[pathlib.Path], Iterator[str]],
    *,
    with_tests: bool,
) -> int:
    """Print a line for each offence; return the exit code.

    Args:
        folders: Folders whose Python files are checked.
        find: Yields a message for each offence of a file.
        with_tests: Whether files in test folders are checked too.
    """
    offences = [
        offence
        for folder in folders
        for path in sorted(pathlib.Path(folder).rglob("*.py"))
        if with_tests or "tests" not in path.parts
        for offence in find(path)
    ]
    for offence in offences:
        print(offence)
    return 1 if offences else 0
