"""The capacity of an engine during its cold start.

An engine that has just started can handle ``cold_slots`` requests; it warms
up with the tokens that it serves, or slowly with time. A restart changes its
boot id; it can also turn cold without a restart.

Examples:
    >>> from daisypick_standins.engine import settings
    >>> cold = ColdStart(settings=settings.EngineSettings(warm_tokens=60))
    >>> cold.capacity(0.0), cold.is_cold(0.0)
    (2, True)
    >>> cold.serve(30); cold.capacity(0.0)
    5
    >>> cold.serve(30); cold.is_cold(0.0)
    False
"""

import random

from daisypick_standins.engine import settings as engine_settings


class ColdStart:
    """The state of the cold start."""

    def __init__(
        self, *, settings: engine_settings.EngineSettings, now: float = 0.0
    ) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self.boot_id = self._new_boot_id()
        self._cold_since = now
        self._served = 0
        self.restart_count = 0

    def serve(self, tokens: int) -> None:
        """Record served tokens."""
        self._served += tokens

    def turn_cold(self, now: float) -> None:
        """Become cold without a restart."""
        self._cold_since = now
        self._served = 0

    def restart(self, now: float) -> None:
        """Restart cold, with a new boot id."""
        self.boot_id = self._new_boot_id()
        self.restart_count += 1
        self.turn_cold(now)

    def capacity(self, now: float) -> int:
        """Return how many concurrent requests it can handle."""
        cold = self._settings.cold_slots
        gain = (self._settings.slots - cold) * self._fraction(now)
        return cold + int(gain)

    def is_cold(self, now: float) -> bool:
        """Return whether it is still in its cold start."""
        return self._fraction(now) < 1.0

    def _fraction(self, now: float) -> float:
        by_work = self._served / self._settings.warm_tokens
        by_time = (now - self._cold_since) / self._settings.warm_seconds
        return min(1.0, max(by_work, by_time))

    def _new_boot_id(self) -> str:
        return f"{self._rng.getrandbits(48):012x}"
