"""The operators' configuration folder and the record of its last apply.

Files ending in ``.toml`` are read, except hidden ones. The record of the last
apply is the hidden file ``.daisypick.json``; an apply uses it to find out
what others have changed since.
"""

from collections.abc import Iterable
import pathlib
import re

from daisypick_core.configuration import check
from daisypick_core.configuration import faults
from daisypick_core.configuration import merge
from daisypick_core.configuration import root as root_object
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

RECORD = ".daisypick.json"
_PREFIX = "zz"
_NUMBERED = re.compile(r".*zz-(\d+)-.*\.toml")


def check_folder(path: pathlib.Path) -> check.Checked:
    """Merge and check a folder; return its configuration or all faults."""
    if not path.is_dir():
        return _single_fault(
            faults.Fault(str(path), "", codes.BAD_FILE, "not a folder")
        )
    files: list[merge.SourceFile] = []
    unreadable: list[faults.Fault] = []
    for file in _files(path):
        try:
            text = file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            unreadable.append(
                faults.Fault(file.name, "", codes.BAD_FILE, str(error))
            )
        else:
            files.append(merge.SourceFile(name=file.name, text=text))
    if not files and not unreadable:
        # Applying an empty folder would remove all entries. Most likely the
        # path is mistyped.
        reason = "has no .toml file"
        return _single_fault(
            faults.Fault(str(path), "", codes.BAD_FILE, reason)
        )
    merged = merge.merge(files)
    merged.faults.extend(unreadable)
    return check.check(merged)


def _single_fault(fault: faults.Fault) -> check.Checked:
    return check.Checked(configuration=None, faults=(fault,), file_by_key={})


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    return sorted(
        file
        for file in path.glob("*.toml")
        if not file.name.startswith(".") and file.is_file()
    )


def read_record(path: pathlib.Path) -> root_object.Root | None:
    """Return the root that was last applied from the folder, or ``None``."""
    try:
        data = (path / RECORD).read_bytes()
    except OSError:
        return None
    root = root_object.decode_root(data)
    return None if failure_value.is_failure(root) else root


def write_record(path: pathlib.Path, root: root_object.Root) -> None:
    """Record the root that was applied.

    Raises:
        OSError: The folder cannot be written.
    """
    bare = root._replace(packs=(), recent=())
    _write_atomically(path / RECORD, root_object.encode_root(bare))


def write_data_centre(
    path: pathlib.Path, name: str, *, is_in: bool
) -> pathlib.Path:
    """Write a file that sorts last and sets whether a data centre is in.

    Raises:
        OSError: The folder cannot be written.
    """
    state = "in" if is_in else "out"
    names = [file.name for file in _files(path)]
    file_name = make_last_file_name(names, f"data-centre-{name}-{state}")
    text = f"[data_centres.{_quote(name)}]\nis_in = {str(is_in).lower()}\n"
    file = path / file_name
    _write_atomically(file, text.encode())
    return file


def make_last_file_name(names: Iterable[str], label: str) -> str:
    """Return a file name that sorts after all others.

    Examples:
        >>> make_last_file_name(["10-base.toml"], "x")
        'zz-000001-x.toml'
        >>> make_last_file_name(["10-base.toml", "zz-000041-y.toml"], "x")
        'zz-000042-x.toml'
        >>> make_last_file_name(["~me-last.toml"], "x")
        '~me-last~zz-000001-x.toml'
    """
    names = list(names)
    numbers = [
        int(match.group(1))
        for match in map(_NUMBERED.fullmatch, names)
        if match
    ]
    name = f"{_PREFIX}-{max(numbers, default=0) + 1:06}-{label}.toml"
    last = max(names, default="")
    if name > last:
        return name
    return f"{last.removesuffix('.toml')}~{name}"


def _quote(name: str) -> str:
    return f'"{name}"'


def _write_atomically(file: pathlib.Path, data: bytes) -> None:
    """Write a file atomically, so that no reader sees a part of it."""
    partial = file.with_name(f".{file.name}.partial")
    partial.write_bytes(data)
    partial.replace(file)
