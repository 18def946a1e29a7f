"""Check that comments report no measurements.

Comments and docstrings describe what code guards against or improves.
Measurements and discarded attempts belong in commits and ``docs/``, next to
the run that they come from, so that they are not taken to describe the
current code.

Usage: ``python tools/check_comments.py FOLDER...``; prints a line for each
offence and exits with 1 if there are any. Tests may state figures.
"""

import ast
from collections.abc import Iterator
import io
import pathlib
import re
import sys
import tokenize

import offences

_MEASUREMENT = re.compile(
    r"\bMeasured:|\b[Mm]easured (as|at|on|with)\b|\b[Mm]ean worth\b"
    r"|\bworth 0\.\d|\b[Ii]n a trial\b"
)
_DOCUMENTED = (
    ast.Module,
    ast.ClassDef,
    ast.FunctionDef,
    ast.AsyncFunctionDef,
)


def find_prose(source: str) -> Iterator[tuple[int, str]]:
    """Yield the line number and the text of each comment and docstring."""
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.COMMENT:
            yield token.start[0], token.string
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, _DOCUMENTED):
            text = ast.get_docstring(node, clean=False)
            if text is not None:
                yield node.body[0].lineno, text


def find_measurements(path: pathlib.Path) -> Iterator[str]:
    """Yield a message for each comment that reports a measurement."""
    for line, text in find_prose(path.read_text(encoding="utf-8")):
        found = _MEASUREMENT.search(text)
        if found is not None:
            yield f"{path}:{line}: reports a measurement: {found.group()}"


def main(folders: list[str]) -> int:
    """Check every Python file below the folders, except tests."""
    return offences.report(folders, find_measurements, with_tests=False)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
