"""Versioned objects in memory, with conditional updates and listeners.

Examples:
    >>> store = ObjectStore()
    >>> first = store.put("status", "a", b"1", if_version=None)
    >>> store.put("status", "a", b"2", if_version=None) is CONFLICT
    True
    >>> store.put("status", "a", b"2", if_version=first.version).value
    b'2'
    >>> store.list_names("status", "")
    ['a']
"""

from collections.abc import Callable
import enum
import typing

MAX_VALUE_BYTES = 1 << 20


class Refusal(enum.Enum):
    """Why the store refused an operation."""

    CONFLICT = "conflict"
    NOT_FOUND = "not found"
    TOO_LARGE = "too large"


CONFLICT = Refusal.CONFLICT
NOT_FOUND = Refusal.NOT_FOUND
TOO_LARGE = Refusal.TOO_LARGE


class Item(typing.NamedTuple):
    """A stored object; versions are never reused, even after a delete."""

    version: str
    value: bytes


Listener = Callable[[str, str], None]


class ObjectStore:
    """All objects, by kind and name."""

    def __init__(self) -> None:
        self._item_by_key: dict[tuple[str, str], Item] = {}
        self._last_version = 0
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Register ``listener(kind, name)``, called after each write."""
        self._listeners.append(listener)

    def get(self, kind: str, name: str) -> Item | None:
        """Return an object, or ``None`` if there is none."""
        return self._item_by_key.get((kind, name))

    def put(
        self, kind: str, name: str, value: bytes, *, if_version: str | None
    ) -> Item | Refusal:
        """Write if the version matches; ``None`` requires a new object."""
        if len(value) > MAX_VALUE_BYTES:
            return TOO_LARGE
        if self._version(kind, name) != if_version:
            return CONFLICT
        self._last_version += 1
        item = Item(version=str(self._last_version), value=value)
        self._item_by_key[kind, name] = item
        self._notify(kind, name)
        return item

    def delete(
        self, kind: str, name: str, *, if_version: str
    ) -> Refusal | None:
        """Delete if the version matches; return ``None`` on success."""
        version = self._version(kind, name)
        if version is None:
            return NOT_FOUND
        if version != if_version:
            return CONFLICT
        del self._item_by_key[kind, name]
        self._notify(kind, name)
        return None

    def list_names(self, kind: str, prefix: str) -> list[str]:
        """Return the names of a kind that begin with a prefix, sorted."""
        return sorted(
            name
            for found, name in self._item_by_key
            if found == kind and name.startswith(prefix)
        )

    def _version(self, kind: str, name: str) -> str | None:
        item = self.get(kind, name)
        return None if item is None else item.version

    def _notify(self, kind: str, name: str) -> None:
        for listener in self._listeners:
            listener(kind, name)
