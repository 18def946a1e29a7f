"""Adaptive limit on concurrent attempts at the backend server.

A server in its cold start can handle little load and crashes under full load,
and it may become cold again without notice. The limit therefore adapts to
observed behaviour only:

* It starts at ``cold_slots`` and increases by one for each healthy response
  of 64 tokens, or for shorter ones with 64 tokens in total, as long as the
  time to first token stays close to its baseline.
* A new boot id means a cold server: the limit returns to ``cold_slots``.
* One outlier of the time to first token, or one error, makes the server
  *suspicious*. After an outlier only ``cold_slots`` attempts may be without a
  first token at once; after an error only ``cold_slots`` may run. A normal
  first token clears either, a healthy response clears an error, so that a
  long prompt or a single bad request costs almost no capacity.
* A second sign before the first is cleared confirms that the server is cold.
* Each confirmation doubles the number of tokens that an increase requires, so
  that a server which crashes repeatedly is overloaded less and less often.

Examples:
    >>> limit = ConcurrencyLimit(slots=3, cold_slots=1)
    >>> limit.finished(is_healthy=True, started_at=0.0, now=1.0)
    >>> limit.finished(is_healthy=True, started_at=1.0, now=2.0)
    >>> limit.limit, limit.is_cold
    (3, False)
    >>> limit.boot_seen("b2")
    >>> limit.limit, limit.is_cold
    (1, True)
"""

from daisypick_core.gate import first_token

_MAX_BACKOFF = 16
# Tokens in healthy responses that an increase requires. A server warms up by
# the tokens it serves, whatever the number of responses: with one increase per
# response, short responses of 20 tokens drove the limit of a server that needs
# 64 tokens per further slot beyond its capacity, and it crashed without any
# sign in its latency.
_TOKENS_PER_INCREASE = 64.0


class ConcurrencyLimit:
    """An adaptive limit between ``cold_slots`` and ``slots``."""

    def __init__(self, *, slots: int, cold_slots: int) -> None:
        self._boot_id = ""
        self._baseline = first_token.Baseline()
        self._limit = cold_slots
        self._restarted_at = float("-inf")
        self._has_outlier = False
        self._limit_before_error: int | None = None
        self._backoff = 1
        self._healthy_tokens = 0.0
        self._keeps_up = True
        self.set_slots(slots=slots, cold_slots=cold_slots)

    @property
    def limit(self) -> int:
        """Number of attempts that may run at once."""
        return self._limit

    @property
    def is_cold(self) -> bool:
        """Whether the limit is still below the configured slots."""
        return self._limit < self._slots

    @property
    def is_suspicious(self) -> bool:
        """Whether one sign of a cold server was seen and not cleared."""
        return self._has_outlier or self._limit_before_error is not None

    @property
    def overdue_after(self) -> float | None:
        """Seconds without a first token that count as an outlier, if known."""
        return self._baseline.outlier_after

    def allows(self, *, running: int, without_token: int) -> bool:
        """Return whether one more attempt may start.

        Args:
            running: Attempts that hold a slot.
            without_token: Those of them that have produced no first token.
        """
        if running >= self._limit:
            return False
        return not self._has_outlier or without_token < self._cold_slots

    def set_slots(self, *, slots: int, cold_slots: int) -> None:
        """Set the slots of a new configuration and keep the learned state."""
        if not 1 <= cold_slots <= slots:
            raise ValueError(f"cold_slots: {cold_slots} is not in 1..{slots}")
        self._slots = slots
        self._cold_slots = cold_slots
        self._limit = min(self._limit, slots)

    def boot_seen(self, boot_id: str) -> None:
        """Record the boot id of a response; a new one means a cold server."""
        if boot_id == self._boot_id:
            return
        self._boot_id = boot_id
        self.restart()

    def restart(self) -> None:
        """Return to the cold limit."""
        self._limit = self._cold_slots
        self._has_outlier = False
        self._limit_before_error = None
        self._healthy_tokens = 0.0
        self._keeps_up = True

    def first_token(self, seconds: float, now: float) -> None:
        """Record the time to first token of an attempt, in seconds."""
        is_outlier = self._baseline.is_outlier(seconds)
        self._keeps_up = self._baseline.keeps_up(seconds)
        self._baseline.learn(seconds, is_cold=self.is_cold)
        if is_outlier:
            self.overdue(now - seconds, now)
        else:
            self._clear()

    def overdue(self, started_at: float, now: float) -> None:
        """Record an attempt whose first token is overdue."""
        if self._is_old(started_at):
            return
        if self.is_suspicious:
            self._confirm_cold(now)
        else:
            self._has_outlier = True

    def finished(
        self,
        *,
        is_healthy: bool,
        started_at: float,
        now: float,
        tokens: float = _TOKENS_PER_INCREASE,
    ) -> None:
        """Record the end of an attempt.

        Args:
            is_healthy: Whether its response was complete and no error.
            started_at: Time at which it started at the server, seconds.
            now: Current time, seconds.
            tokens: Its cost; a response without a token count counts as a
                full increase.
        """
        if is_healthy:
            self._clear_error()
            self._increase_limit(tokens)
        elif not self._is_old(started_at):
            self._failed(now)

    def _failed(self, now: float) -> None:
        if self.is_suspicious or self.is_cold:
            self._confirm_cold(now)
            return
        self._limit_before_error = self._limit
        self._limit = self._cold_slots

    def _increase_limit(self, tokens: float) -> None:
        if self.is_suspicious or not self._keeps_up or not self.is_cold:
            return
        self._healthy_tokens += min(tokens, _TOKENS_PER_INCREASE)
        if self._healthy_tokens < _TOKENS_PER_INCREASE * self._backoff:
            return
        self._healthy_tokens = 0.0
        self._limit += 1
        if not self.is_cold:
            self._backoff = 1

    def _is_old(self, started_at: float) -> bool:
        # Attempts that fail together are one event. Otherwise, of eight that
        # fail in a crash, the last six would count as new failures of a
        # server already reduced to its cold limit, and its ramp would take
        # minutes.
        return started_at < self._restarted_at

    def _confirm_cold(self, now: float) -> None:
        self._restarted_at = now
        self._backoff = min(_MAX_BACKOFF, 2 * self._backoff)
        self.restart()

    def _clear(self) -> None:
        self._has_outlier = False
        self._clear_error()

    def _clear_error(self) -> None:
        if self._limit_before_error is None:
            return
        self._limit = min(self._slots, self._limit_before_error)
        self._limit_before_error = None
