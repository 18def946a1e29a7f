"""Fixtures of the router's tests."""

import gc

import gevent
from gevent import server
import pytest


@pytest.fixture(autouse=True)
def _end_routers():
    """End what a test has started, in its own process.

    Routers of earlier tests went on: they renewed their entries, looked for
    stores that were gone and took the processor from the tests after them,
    which then missed their bounds on a busy machine.
    """
    yield
    for found in gc.get_objects():
        if isinstance(found, server.StreamServer):
            found.close()
    gevent.killall(
        [
            found
            for found in gc.get_objects()
            if isinstance(found, gevent.Greenlet) and not found.dead
        ],
        timeout=2.0,
    )
