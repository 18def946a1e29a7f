"""A set with random choice and membership in constant time.

Examples:
    >>> agents = IndexedSet()
    >>> agents.add("a"), agents.add("b"), agents.add("c")
    (True, True, True)
    >>> agents.discard("a"), agents.discard("a"), agents.items
    (True, False, ['c', 'b'])
"""

from collections.abc import Hashable
import typing

Item = typing.TypeVar("Item", bound=Hashable)


class IndexedSet(typing.Generic[Item]):
    """A set stored as a list, with the index of each item.

    Attributes:
        items: The items in unspecified order; callers must not modify it.
    """

    def __init__(self) -> None:
        self.items: list[Item] = []
        self._position_by_item: dict[Item, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: Item) -> bool:
        return item in self._position_by_item

    def add(self, item: Item) -> bool:
        """Add an item; return whether it is new."""
        if item in self._position_by_item:
            return False
        self._position_by_item[item] = len(self.items)
        self.items.append(item)
        return True

    def discard(self, item: Item) -> bool:
        """Remove an item; return whether it was present."""
        position = self._position_by_item.pop(item, None)
        if position is None:
            return False
        last = self.items.pop()
        if position < len(self.items):
            self.items[position] = last
            self._position_by_item[last] = position
        return True

    def put(self, item: Item, *, is_member: bool) -> bool:
        """Add or remove an item; return whether the set changed."""
        return self.add(item) if is_member else self.discard(item)
