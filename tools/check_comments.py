"""Check that comments tell no measurements.

Comments and docstrings say what code guards against or gains. How that was
measured, and what was tried, stands in commits and ``docs/``, where it can be
read beside its run and is not taken for true of the code as it is now.

Usage: ``python tools/check_comments.py FOLDER...``; exit 1 with a line for
each offence. Tests may state figures.
"""

import ast
from collections.abc import Iterator
import io
import pathlib
import re
import sys
import tokenize

import offences

_STORY = re.compile(
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
    """Yield the line and the text of each comment and docstring."""
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.COMMENT:
            yield token.start[0], token.string
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, _DOCUMENTED):
            text = ast.get_docstring(node, clean=False)
            if text is not None:
                yield node.body[0].lineno, text


def find_stories(path: pathlib.Path) -> Iterator[str]:
    """Yield a message for each comment that tells of a measurement."""
    for line, text in find_prose(path.read_text(encoding="utf-8")):
        found = _STORY.search(text)
        if found is not None:
            yield f"{path}:{line}: tells a measurement: {found.group()}"


def main(folders: list[str]) -> int:
    """Check every Python file below the folders, tests aside."""
    return offences.report(folders, find_stories, with_tests=False)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
