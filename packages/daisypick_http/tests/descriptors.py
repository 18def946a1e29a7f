"""A test process without free file descriptors."""

from collections.abc import Iterator
import contextlib
import os
import resource

_MAX_FILES = 1024


@contextlib.contextmanager
def exhaust() -> Iterator[None]:
    """Use up all free file descriptors of this process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (_MAX_FILES, hard))
    duplicated = []
    with contextlib.suppress(OSError):
        while True:
            duplicated.append(os.dup(0))
    try:
        yield
    finally:
        for descriptor in duplicated:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
