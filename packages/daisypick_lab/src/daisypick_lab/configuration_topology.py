"""Data centres and peers of the nodes in the distribution model.

Node ``n`` is in data centre ``n % DATA_CENTRES``.

Examples:
    >>> list(PeerAddresses(own=1, nodes=4, step=1))
    ['0', '2', '3']
    >>> list(PeerAddresses(own=13, nodes=30, step=DATA_CENTRES))
    ['1', '25']
"""

from collections.abc import Sequence
import typing

DATA_CENTRES = 12


def data_centre_of(number: int) -> int:
    """Return the number of a node's data centre."""
    return number % DATA_CENTRES


class PeerAddresses(Sequence):
    """Addresses of the other nodes in the fleet or in one data centre.

    The addresses are computed on demand.

    Args:
        own: Number of the node itself, which is left out.
        nodes: Number of nodes in the fleet.
        step: 1 for the whole fleet, ``DATA_CENTRES`` for the node's own data
            centre.
    """

    def __init__(self, *, own: int, nodes: int, step: int) -> None:
        self._own = own
        self._step = step
        self._first = own % step
        self._length = len(range(self._first, nodes, step)) - 1

    def __len__(self) -> int:
        return max(0, self._length)

    def __getitem__(self, index: typing.Any) -> typing.Any:
        if not 0 <= index < self._length:
            raise IndexError(index)
        number = self._first + index * self._step
        return str(number if number < self._own else number + self._step)
