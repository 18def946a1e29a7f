"""An in-memory object store for models and tests of the claims.

It has the semantics of the platform's store (versions, conditional updates)
and injects its faults: outages, lost calls, and responses that are lost after
a write took effect.

Examples:
    >>> store = MemoryStore()
    >>> first = store.carry_out(actions.Write("000", b"x", None))
    >>> store.carry_out(actions.Write("000", b"y", None)).code.title
    'Object was changed by others'
    >>> store.carry_out(actions.Read("000")) == first
    True
"""

import itertools

from daisypick_core.claims import actions
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

Result = actions.Stored | failure_value.Failure


class MemoryStore:
    """Objects with versions, and faults that can be injected.

    Attributes:
        is_down: Whether every call fails and is known to have no effect.
        loses_answers: Whether responses are lost; writes take effect.
        loses_calls: Whether calls are lost; callers can't distinguish this
            from a lost response.
        reads: Number of reads.
        writes: Number of writes, including failed ones.
        bytes_written: Total size of the writes that took effect.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.loses_answers = False
        self.loses_calls = False
        self.reads = 0
        self.writes = 0
        self.bytes_written = 0
        self._versions = itertools.count(1)
        self._object_by_name: dict[str, actions.Stored] = {}

    @property
    def names(self) -> list[str]:
        """Sorted names of the objects."""
        return sorted(self._object_by_name)

    def carry_out(self, call: actions.StoreCall) -> Result:
        """Execute a call of a batcher and return its result."""
        if isinstance(call, actions.Read):
            self.reads += 1
        else:
            self.writes += 1
        if self.is_down:
            return _fail(codes.PLATFORM_UNAVAILABLE, "the store is down")
        if self.loses_calls:
            return _fail(codes.PLATFORM_ANSWER_LOST, "the call was lost")
        result = self._apply(call)
        if self.loses_answers:
            return _fail(codes.PLATFORM_ANSWER_LOST, "the answer was lost")
        return result

    def _apply(self, call: actions.StoreCall) -> Result:
        stored_object = self._object_by_name.get(call.name)
        if isinstance(call, actions.Read):
            return stored_object or _fail(codes.NOT_FOUND, f"name: {call.name}")
        version = stored_object.version if stored_object else None
        if version != call.if_version:
            return _fail(codes.PLATFORM_CONFLICT, f"name: {call.name}")
        if isinstance(call, actions.Delete):
            return self._object_by_name.pop(call.name)
        self.bytes_written += len(call.value)
        stored = actions.Stored(
            version=str(next(self._versions)), value=call.value
        )
        self._object_by_name[call.name] = stored
        return stored


def _fail(code: codes.Code, reason: str) -> failure_value.Failure:
    return failure_value.Failure(code=code, reason=reason)
