"""Whether new attempts may start at the gate.

A data centre that is out of service, a VM that leaves and a graceful shutdown
share one state, *draining*, with one reason each. The gate opens again only
when no reason is left. Reasons that come from the configuration carry its
generation, and an older generation never overrides a newer one.

Examples:
    >>> admission = Admission()
    >>> admission.close(DATA_CENTRE_OUT), admission.close(VM_LEAVING)
    (True, False)
    >>> admission.open(DATA_CENTRE_OUT), admission.is_open
    (False, False)
    >>> admission.open(VM_LEAVING), admission.is_open
    (True, True)
    >>> admission.close(DATA_CENTRE_OUT, generation=8)
    True
    >>> admission.open(DATA_CENTRE_OUT, generation=7), admission.is_open
    (False, False)
"""

DATA_CENTRE_OUT = "data centre is out"
VM_LEAVING = "VM is leaving"
SHUTDOWN = "process is shutting down"
REMOVED = "backend server is not in the configuration"
NOT_CONFIGURED = "process has no configuration yet"


class Admission:
    """The set of reasons for which no new attempt starts."""

    def __init__(self) -> None:
        self._reasons: set[str] = set()
        self._generation_by_reason: dict[str, int] = {}

    @property
    def is_open(self) -> bool:
        """Whether new attempts may start."""
        return not self._reasons

    @property
    def reasons(self) -> tuple[str, ...]:
        """The current reasons, sorted."""
        return tuple(sorted(self._reasons))

    def close(self, reason: str, generation: int | None = None) -> bool:
        """Add a reason; return whether the gate has just closed.

        ``generation`` is that of the configuration that gives the reason,
        ``None`` for a reason that arises within the process.
        """
        if self._is_outdated(reason, generation):
            return False
        was_open = self.is_open
        self._reasons.add(reason)
        return was_open

    def open(self, reason: str, generation: int | None = None) -> bool:
        """Remove a reason; return whether the gate has just opened."""
        if self._is_outdated(reason, generation):
            return False
        was_open = self.is_open
        self._reasons.discard(reason)
        return self.is_open and not was_open

    def _is_outdated(self, reason: str, generation: int | None) -> bool:
        # Configurations from different peers can arrive out of order. Without
        # this check a late "in" of generation 7 would reopen a gate that
        # generation 8 has closed, and attempts would start in a data centre
        # that is out of service.
        if generation is None:
            return False
        if generation < self._generation_by_reason.get(reason, 0):
            return True
        self._generation_by_reason[reason] = generation
        return False
