"""Reuse of connections against the peer's idle timeout, on a virtual clock.

The peers close idle connections after their timeout, announce it rounded up to
whole seconds or not at all, and the sends to each of them come at random times.
"""

import random

from gevent import server as gevent_server
import pytest

from daisypick_http import pool as pools

_PEERS = [("127.0.0.1", 1000 + number) for number in range(28)]
_SENDS = 3000


class _Clock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class _Connection:
    """A connection to a peer that closes it after its idle timeout."""

    def __init__(self, *, clock, address, timeout, announced):
        self.address = address
        self.idle_since = clock.now
        self.idle_limit = None
        self.open_until = 0.0
        self.closed = False
        self._clock = clock
        self._timeout = timeout
        self._announced = announced

    @property
    def seconds_to_closing(self):
        return self.idle_since + self._timeout - self._clock.now

    def is_reusable(self):
        return True

    def is_open_and_idle(self):
        return not self.closed and self.seconds_to_closing > 0.0

    def update_idle_limit(self):
        self.idle_limit = self._announced

    def close(self):
        self.closed = True


def _play(monkeypatch, *, timeout, announced):
    """Return connections opened per send, least seconds to a closing, held."""
    clock, rng = _Clock(), random.Random(7)
    monkeypatch.setattr(pools, "time", clock)
    pool = pools.Pool(connect_timeout=1.0)
    open_connections = []

    def _open(address):
        opened = _Connection(
            clock=clock, address=address, timeout=timeout, announced=announced
        )
        open_connections.append(opened)
        return opened

    monkeypatch.setattr(pool, "_open", _open)
    least, stale_at = timeout, clock.now
    for number in range(_SENDS):
        # Some 14 sends a second to 28 peers, as of a router of the page.
        clock.now += rng.expovariate(14.0)
        while stale_at < clock.now:
            stale_at += 1.0
            pool.close_stale()
        taken = pool.take(rng.choice(_PEERS))
        if number >= _SENDS // 3:
            least = min(least, taken.seconds_to_closing)
        elif number == _SENDS // 3 - 1:
            pool.opened = 0
        taken.idle_since = clock.now
        pool.release(taken)
    held = sum(not each.closed for each in open_connections)
    return pool.opened / (_SENDS * 2 / 3), least, held


@pytest.mark.parametrize(
    ("timeout", "announced", "most_opened", "margin"),
    [
        # Rounded up: the peer closes nearly a second before it announces.
        (9.05, 10.0, 0.05, 0.5),
        (15.0, 15.0, 0.05, 1.5),
        (4.05, 5.0, 0.3, 0.5),
        # Nothing is announced.
        (30.0, None, 0.05, 8.0),
        (10.0, None, 0.15, 4.0),
        (2.0, None, 0.7, 0.9),
    ],
)
def test_connections_are_reused_within_the_idle_timeout(
    monkeypatch, timeout, announced, most_opened, margin
):
    """Guards against new connections for every fourth send.

    Also guards against a request on a connection that its peer is closing:
    it may have run, and its caller gets no answer.
    """
    opened, least, held = _play(
        monkeypatch, timeout=timeout, announced=announced
    )
    assert opened < most_opened
    assert least >= margin
    assert held <= 4 * len(_PEERS)


def test_a_peer_that_closes_early_is_given_less_time(monkeypatch):
    """Guards against reuse up to a second where the peer closes before it."""
    _, least, _ = _play(monkeypatch, timeout=0.9, announced=None)
    assert least >= 0.2


def test_connection_that_was_not_used_is_kept_with_its_idle_time():
    """Guards against a new connection for each request that came too late.

    Also guards against counting the idle time anew, since the peer does not.
    """
    server = gevent_server.StreamServer(
        ("127.0.0.1", 0), lambda connected, _: connected.recv(1)
    )
    server.start()
    pool = pools.Pool(connect_timeout=1.0)
    address = ("127.0.0.1", server.server_port)
    taken = pool.take(address)
    idle_since = taken.idle_since
    pool.release(taken)
    again = pool.take(address)
    assert again is taken
    assert again.idle_since == idle_since
    server.stop()
