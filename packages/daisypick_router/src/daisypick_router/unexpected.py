"""Records errors that no part of the router handles itself.

Such an error is a defect. It is logged with its place in the code and counted,
so that it is noticed, and whoever catches it answers the caller or goes on.
"""

import collections
import traceback
import types

import gevent

from daisypick_router import line_limit
from daisypick_router import log as logs
from daisypick_router import metrics as metric_numbers

# The counter has all errors of a part; one may recur with each request.
_MAX_LINES = 5
# Innermost calls that are logged, and characters of the error's text.
_MAX_CALLS = 4
_MAX_TEXT = 200


def show(error: BaseException) -> str:
    """Return the type and the shortened text of an error.

    Examples:
        >>> show(ZeroDivisionError("division by zero"))
        'ZeroDivisionError: division by zero'
    """
    return f"{type(error).__name__}: {error}"[:_MAX_TEXT]


def _find_calls(error: BaseException) -> list[str]:
    """Return file, line and function of the innermost calls, outermost first.

    Their number bounds the line, also for an error of a deep recursion.
    """
    frames = collections.deque(
        traceback.walk_tb(error.__traceback__), maxlen=_MAX_CALLS
    )
    return [
        f"{frame.f_code.co_filename.rpartition('/')[2]}:{line}"
        f" {frame.f_code.co_name}"
        for frame, line in frames
    ]


def _name(context: object) -> str:
    """Return the name of what an error has ended, without its arguments."""
    if isinstance(context, gevent.Greenlet):
        context = getattr(context, "_run", context)
    name = getattr(context, "__qualname__", type(context).__qualname__)
    return f"{getattr(context, '__module__', '')}.{name}"


class UnexpectedErrors:
    """Logs and counts unexpected errors."""

    def __init__(
        self, *, log: logs.Log, metrics: metric_numbers.Metrics
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._limit = line_limit.LineLimit(most=_MAX_LINES)

    def install(self) -> None:
        """Record the errors that end greenlets of this thread.

        ``loops.spawn`` reports those after which it goes on in the same way.
        """
        hub = gevent.get_hub()
        print_error = hub.handle_error

        def _handle_error(
            context: object,
            kind: type[BaseException] | None,
            error: BaseException | None,
            trace: types.TracebackType | None,
        ) -> None:
            if isinstance(error, Exception):
                self.note(_name(context), error)
            else:
                print_error(context, kind, error, trace)

        hub.handle_error = _handle_error

    def note(self, part: str, error: BaseException) -> None:
        """Record an error.

        Args:
            part: The part of the router that it ended, such as ``"serve"``.
            error: The error, as it was caught.
        """
        self._metrics.count(
            "unexpected_errors_total", part=part, type=type(error).__name__
        )
        if self._limit.allows(part):
            self._log.write(
                "error",
                "Unexpected error.",
                where=part,
                reason=show(error),
                calls=_find_calls(error),
            )
