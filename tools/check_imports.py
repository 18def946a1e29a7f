"""Check that modules are imported, not names.

The Google Python Style Guide asks for ``import package.module`` or
``from package import module`` and forbids importing classes or functions,
except from ``typing`` and ``collections.abc``. The linter has no such rule.

Usage: ``python tools/check_imports.py FOLDER...``; prints a line for each
offence and exits with 1 if there are any.
"""

import ast
from collections.abc import Iterator
import importlib.util
import pathlib
import sys

import offences

_ALLOWED = frozenset({"typing", "collections.abc", "__future__"})


def _is_module(name: str) -> bool:
    """Return whether ``name`` can be imported as a module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, AttributeError, ValueError):
        return False


def find_name_imports(path: pathlib.Path) -> Iterator[str]:
    """Yield a message for each imported name that is not a module."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node.level:
            continue
        if node.module in _ALLOWED:
            continue
        for alias in node.names:
            full_name = f"{node.module}.{alias.name}"
            if not _is_module(full_name):
                yield f"{path}:{node.lineno}: imports a name: {full_name}"


def main(folders: list[str]) -> int:
    """Check every Python file below the folders."""
    return offences.report(folders, find_name_imports, with_tests=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
