"""The sentinel value that a function returns in place of a result.

A caller asks ``is_failure(value)`` before using the value; the reason says
which argument or event is at fault.

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
    """A result that is not there, and why.

    Attributes:
        code: The numbered code.
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
    """Tell whether ``value`` stands for a failure."""
    return isinstance(value, Failure)
