"""How many attempts may run at once at the backend server.

A server in its cold start bears little; the limit starts small and is raised
by one for each healthy answer until it reaches the configured slots.
"""


class ConcurrencyLimit:
    """An additive-increase limit between ``cold_slots`` and ``slots``."""

    def __init__(self, *, slots: int, cold_slots: int) -> None:
        if not 1 <= cold_slots <= slots:
            raise ValueError(f"cold_slots: {cold_slots} is not in 1..{slots}")
        self._slots = slots
        self._cold_slots = cold_slots
        self._limit = cold_slots
        self._boot_id = ""

    @property
    def limit(self) -> int:
        """Attempts that may run at once."""
        return self._limit

    @property
    def is_cold(self) -> bool:
        """Whether the limit is still below the configured slots."""
        return self._limit < self._slots

    def set_slots(self, *, slots: int, cold_slots: int) -> None:
        """Take the slots of a new configuration.

        Raises:
            ValueError: ``cold_slots`` is not in 1..``slots``.
        """
        if not 1 <= cold_slots <= slots:
            raise ValueError(f"cold_slots: {cold_slots} is not in 1..{slots}")
        was_warm = not self.is_cold and self._slots > self._cold_slots
        self._slots = slots
        self._cold_slots = cold_slots
        self._limit = slots if was_warm else max(self._limit, cold_slots)
        self._limit = min(self._limit, slots)

    def boot_seen(self, boot_id: str) -> None:
        """Note the boot id in an answer; a new one means a cold server."""
        if boot_id == self._boot_id:
            return
        self._boot_id = boot_id
        self.restart()

    def restart(self) -> None:
        """Go back to the cold limit."""
        self._limit = self._cold_slots

    def finished(self, *, is_healthy: bool) -> None:
        """Note the end of an attempt."""
        if not is_healthy:
            self.restart()
            return
        self._limit = min(self._slots, self._limit + 1)
