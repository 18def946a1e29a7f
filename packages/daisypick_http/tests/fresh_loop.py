"""Tests that need an event loop which no other test has used.

A loop takes more events from the kernel in one turn once it has met more, so
what happens to the rest shows only in a new one.
"""

from collections.abc import Callable
import functools
import gc
import threading

import gevent
from gevent import baseserver as server


def run(test: Callable[[], None]) -> Callable[[], None]:
    """Return the test, run in a thread of its own and thus on a new loop."""

    @functools.wraps(test)
    def _run() -> None:
        raised: list[BaseException] = []

        def _catch() -> None:
            try:
                test()
            except BaseException as error:  # noqa: BLE001
                raised.append(error)
            finally:
                _end_loop()

        thread = threading.Thread(target=_catch)
        thread.start()
        thread.join()
        if raised:
            raise raised[0]

    return _run


def _end_loop() -> None:
    """End what the test has started on this thread's loop."""
    hub = gevent.get_hub()
    for found in gc.get_objects():
        if isinstance(found, server.BaseServer) and found.loop is hub.loop:
            found.close()
    gevent.killall(
        [
            found
            for found in gc.get_objects()
            if isinstance(found, gevent.Greenlet)
            and not found.dead
            and found.parent is hub
        ],
        timeout=2.0,
    )
    gc.collect()
    hub.destroy(destroy_loop=True)
