"""Greenlets whose work must go on after an unexpected error.

An error ends a greenlet, and what waits for its work would wait in vain: a
request for its turn, a copy of the store for the next change. The errors are
reported to gevent's hub, which prints them, or logs and counts them in a
process that has called ``UnexpectedErrors.install``.
"""

from collections.abc import Callable
import sys
import typing

import gevent

# Pause before a loop runs again. An error that recurs at once must not take the
# processor from the requests.
_RESTART_SECONDS = 0.2


def spawn(
    function: Callable[..., None], *arguments: typing.Any
) -> gevent.Greenlet:
    """Run a function in a greenlet, again after each error.

    Args:
        function: Runs until the greenlet is killed, or returns when its work
            is done.
        *arguments: Its arguments.
    """
    return gevent.spawn(_keep_running, function, arguments)


def _keep_running(
    function: Callable[..., None], arguments: tuple[typing.Any, ...]
) -> None:
    while True:
        try:
            function(*arguments)
        except Exception:
            report(function)
            gevent.sleep(_RESTART_SECONDS)
        else:
            return


def call(function: Callable[..., None], *arguments: typing.Any) -> None:
    """Call a function of others; its error does not end the caller's work.

    Used where one of several callbacks must not keep the others from theirs.
    """
    try:
        function(*arguments)
    except Exception:
        report(function)


def report(source: object) -> None:
    """Report the error that is being handled."""
    gevent.get_hub().handle_error(source, *sys.exc_info())
