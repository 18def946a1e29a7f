"""Bodies that are kept in blocks."""

import sys

import pytest

from daisypick_http import bodies


def _collect(pieces):
    body = bodies.BlockBody()
    for piece in pieces:
        body.append(piece)
    return body


@pytest.mark.parametrize("piece", [1, 17, 700, 16_384, 60_000])
def test_memory_follows_the_size_whatever_the_pieces(piece):
    """Guards against small pieces that take many times their size."""
    size = 480_000 // piece * piece
    body = _collect([b"x" * piece] * (size // piece))
    assert len(body) == size
    assert bytes(body) == b"x" * size
    assert sum(map(sys.getsizeof, body)) < 1.2 * size


def test_small_bodies_become_one_value_and_large_ones_are_not_copied():
    small, large = _collect([b"a", b"b"]), _collect([b"x" * 40_000] * 2)
    assert small.finish() == b"ab"
    assert large.finish() is large
    assert large == b"x" * 80_000
    assert b"".join(bodies.iterate_blocks(large)) == b"x" * 80_000
    assert list(bodies.iterate_blocks(b"ab")) == [b"ab"]
