"""The value that a function returns instead of a result when it fails.

Callers check ``is_failure(value)`` before they use the value; the reason names
the argument or event that caused the failure.

Examples:
    >>> from daisypick_core.results import codes
    >>> value = Failure(code=codes.DRAINING, reason="data centre sofia is out")
    >>> is_failure(value), value.ran
    (True, 'no')
    >>> is_failure("an answer")
    False
"""

import typing

from daisypick_core.results import codes


class Failure(typing.NamedTuple):
    """The code and the reason of a failed operation.

    Attributes:
        code: The numbered result code.
        reason: A short sentence that names the offending argument or event.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    code: codes.Code
    reason: str
    retry_after: float | None = None

    @property
    def ran(self) -> str:
        """``"no"`` if the request can never run, else ``"unknown"``."""
        return self.code.ran


def is_failure(value: object) -> typing.TypeGuard[Failure]:
    """Return whether ``value`` is a failure."""
    return isinstance(value, Failure)
