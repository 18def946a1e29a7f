"""Where the nodes of the model of the spread are, and whom they know.

Node ``n`` is in data centre ``n % DATA_CENTRES``.

Examples:
    >>> list(Others(own=1, nodes=4, step=1))
    ['0', '2', '3']
    >>> list(Others(own=13, nodes=30, step=DATA_CENTRES))
    ['1', '25']
"""

from collections.abc import Sequence
import typing

DATA_CENTRES = 12


def place(number: int) -> int:
    """Return the data centre of a node."""
    return number % DATA_CENTRES


class Others(Sequence):
    """Addresses of the nodes of one place, or of all, but one's own."""

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
