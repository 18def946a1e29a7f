"""A first-in first-out queue for each key, with deadlines.

Routers and gates both queue work by organisation, remove items from the middle
(a withdrawal, a caller that disconnected) and reject items whose deadline has
passed. With tens of thousands of items the cost of each operation must not
depend on the length of the queues: items are found by id, and deadlines are
kept in a heap whose stale entries are skipped and periodically removed.

Examples:
    >>> import collections
    >>> Item = collections.namedtuple("Item", "name deadline")
    >>> queues = KeyedQueues()
    >>> queues.append("union", "a", Item("a", 5.0))
    >>> queues.append("union", "b", Item("b", 3.0))
    >>> queues.append("studio", "c", Item("c", 9.0))
    >>> len(queues), queues.size("union"), queues.longest()
    (3, 2, 'union')
    >>> queues.remove("a").name, queues.expire(3.0)
    ('a', [Item(name='b', deadline=3.0)])
    >>> list(queues.keys()), queues.next_deadline()
    (['studio'], 9.0)
"""

import collections
from collections.abc import Hashable
from collections.abc import KeysView
import heapq
import typing

_COMPACTION_MINIMUM = 1024


class HasDeadline(typing.Protocol):
    """An item with a deadline."""

    @property
    def deadline(self) -> float:
        """Time in seconds by which it must have started."""


Key = typing.TypeVar("Key", bound=Hashable)
Item = typing.TypeVar("Item", bound=HasDeadline)


class KeyedQueues(typing.Generic[Key, Item]):
    """Queues by key; a key without items is dropped."""

    def __init__(self) -> None:
        self._queue_by_key: collections.OrderedDict[
            Key, collections.OrderedDict[str, Item]
        ] = collections.OrderedDict()
        self._key_by_id: dict[str, Key] = {}
        self._deadlines: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._key_by_id)

    def __contains__(self, item_id: str) -> bool:
        return item_id in self._key_by_id

    def keys(self) -> KeysView[Key]:
        """Return the keys that have items, in round-robin order."""
        return self._queue_by_key.keys()

    def size(self, key: Key) -> int:
        """Return the number of items of a key."""
        return len(self._queue_by_key.get(key, ()))

    def next_key(self) -> Key:
        """Return the next key in round-robin order and move it to the end.

        Raises:
            StopIteration: All queues are empty.
        """
        key = next(iter(self._queue_by_key))
        self._queue_by_key.move_to_end(key)
        return key

    def longest(self) -> Key:
        """Return the key with the most items.

        Raises:
            ValueError: All queues are empty.
        """
        return max(self._queue_by_key, key=self.size)

    def append(self, key: Key, item_id: str, item: Item) -> None:
        """Add an item at the end of its key's queue."""
        queue = self._queue_by_key.get(key)
        if queue is None:
            queue = self._queue_by_key[key] = collections.OrderedDict()
        queue[item_id] = item
        self._key_by_id[item_id] = key
        heapq.heappush(self._deadlines, (item.deadline, item_id))
        self._compact_deadlines()

    def prepend(self, key: Key, item_id: str, item: Item) -> None:
        """Add an item at the front of its key's queue."""
        self.append(key, item_id, item)
        self._queue_by_key[key].move_to_end(item_id, last=False)

    def first(self, key: Key) -> Item | None:
        """Return the oldest item of a key without removing it."""
        queue = self._queue_by_key.get(key)
        return next(iter(queue.values())) if queue else None

    def pop_first(self, key: Key) -> Item:
        """Remove and return the oldest item of a key."""
        return self._pop_end(key, last=False)

    def pop_last(self, key: Key) -> Item:
        """Remove and return the newest item of a key."""
        return self._pop_end(key, last=True)

    def heads(self) -> list[Item]:
        """Return the oldest item of each key, in round-robin order."""
        return [next(iter(q.values())) for q in self._queue_by_key.values()]

    def remove(self, item_id: str) -> Item | None:
        """Remove and return an item; ``None`` if it is not queued."""
        key = self._key_by_id.pop(item_id, None)
        if key is None:
            return None
        item = self._queue_by_key[key].pop(item_id)
        self._drop_if_empty(key)
        return item

    def clear(self) -> list[Item]:
        """Remove and return all items."""
        items = [i for q in self._queue_by_key.values() for i in q.values()]
        self._queue_by_key.clear()
        self._key_by_id.clear()
        self._deadlines.clear()
        return items

    def expire(self, now: float) -> list[Item]:
        """Remove and return the items whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            item_id = heapq.heappop(self._deadlines)[1]
            item = self._find(item_id)
            if item is not None and item.deadline <= now:
                self.remove(item_id)
                expired.append(item)
        return expired

    def next_deadline(self) -> float | None:
        """Return the earliest deadline, ``None`` if all queues are empty."""
        while self._deadlines and self._deadlines[0][1] not in self._key_by_id:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _find(self, item_id: str) -> Item | None:
        key = self._key_by_id.get(item_id)
        return None if key is None else self._queue_by_key[key][item_id]

    def _pop_end(self, key: Key, *, last: bool) -> Item:
        item_id, item = self._queue_by_key[key].popitem(last=last)
        del self._key_by_id[item_id]
        self._drop_if_empty(key)
        return item

    def _drop_if_empty(self, key: Key) -> None:
        if not self._queue_by_key[key]:
            del self._queue_by_key[key]

    def _compact_deadlines(self) -> None:
        # Items leave long before their deadline, and their heap entries
        # remain: without compaction a minute of deadlines at 10,000 requests
        # per second leaves 600,000 stale entries.
        if len(self._deadlines) < _COMPACTION_MINIMUM + 2 * len(
            self._key_by_id
        ):
            return
        live = {e for e in self._deadlines if e[1] in self._key_by_id}
        self._deadlines = list(live)
        heapq.heapify(self._deadlines)
