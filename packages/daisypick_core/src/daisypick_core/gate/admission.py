"""Whether anything new may start at the gate.

A data centre that is out, a VM that leaves and a graceful shutdown are one
state, *draining*, with several reasons; the gate opens again only when no
reason is left.

Examples:
    >>> admission = Admission()
    >>> admission.close(DATA_CENTRE_OUT), admission.close(VM_LEAVING)
    (True, False)
    >>> admission.open(DATA_CENTRE_OUT), admission.is_open
    (False, False)
    >>> admission.open(VM_LEAVING), admission.is_open
    (True, True)
"""

DATA_CENTRE_OUT = "data centre is out"
VM_LEAVING = "VM is leaving"
SHUTDOWN = "process is shutting down"
REMOVED = "backend server is not in the configuration"


class Admission:
    """The set of reasons why nothing new starts."""

    def __init__(self) -> None:
        self._reasons: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Whether new attempts may start."""
        return not self._reasons

    @property
    def reasons(self) -> tuple[str, ...]:
        """Why nothing starts, sorted."""
        return tuple(sorted(self._reasons))

    def close(self, reason: str) -> bool:
        """Add a reason; return whether the gate has just closed."""
        was_open = self.is_open
        self._reasons.add(reason)
        return was_open

    def open(self, reason: str) -> bool:
        """Take a reason back; return whether the gate has just opened."""
        was_open = self.is_open
        self._reasons.discard(reason)
        return self.is_open and not was_open
