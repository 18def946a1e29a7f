"""Runs tests on an event loop that no other test has used.

A loop takes more events from the kernel per iteration once it has received
many at once, so only a new loop leaves some of them for a later iteration.
"""

from collections.abc import Callable
import functools
import gc
import threading

import gevent
from gevent import baseserver as server


def run(test: Callable[[], None]) -> Callable[[], None]:
    """Return the test wrapped to run in a new thread and so on a new loop."""

    @functools.wraps(test)
    def _run() -> None:
        errors: list[BaseException] = []

        def _catch() -> None:
            try:
                test()
            except BaseException as error:  # noqa: BLE001
                errors.append(error)
            finally:
                _stop_loop()

        thread = threading.Thread(target=_catch)
        thread.start()
        thread.join()
        if errors:
            raise errors[0]

    return _run


def _stop_loop() -> None:
    """Stop everything that the test started on this thread's loop."""
    hub = gevent.get_hub()
    for item in gc.get_objects():
        if isinstance(item, server.BaseServer) and item.loop is hub.loop:
            item.close()
    gevent.killall(
        [
            item
            for item in gc.get_objects()
            if isinstance(item, gevent.Greenlet)
            and not item.dead
            and item.parent is hub
        ],
        timeout=2.0,
    )
    gc.collect()
    hub.destroy(destroy_loop=True)
