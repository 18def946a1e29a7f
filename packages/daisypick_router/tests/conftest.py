"""Fixtures of the router's tests."""

import gc

import gevent
from gevent import server
import pytest


@pytest.fixture(autouse=True)
def _end_routers():
    """Stop servers and greenlets that a test has started.

    Routers left over from earlier tests would keep renewing their entries and
    reconnecting to stores that are gone. On a busy machine the CPU time this
    takes makes later tests exceed their time limits.
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
