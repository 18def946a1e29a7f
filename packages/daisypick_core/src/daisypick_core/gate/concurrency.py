"""How many attempts may run at once at the backend server.

A server in its cold start bears little and falls over under full load, and
it may turn cold again without a word. The limit believes only what it sees:

* It starts at ``cold_slots`` and rises by one for each healthy answer of 64
  tokens, or for as many shorter ones as make 64, as long as the time to first
  token keeps up with its baseline.
* A new boot id means a cold server: back to ``cold_slots`` at once.
* One leap of the time to first token, or one error, is a *suspicion*. After
  a leap only ``cold_slots`` attempts may be without a first token at once;
  after an error only ``cold_slots`` may run. Good news clears it: a long
  prompt or one bad request costs next to nothing.
* A second one without good news in between confirms it: the server is cold.
* Each confirmed failure doubles the tokens that a raise then takes,
  so that a server that keeps falling over is not pushed over again and again.

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

_MOST_PATIENCE = 16
# Tokens in healthy answers that a raise takes. A server warms by what it
# serves, not by how many answers that makes: with a raise an answer, short
# answers of 20 tokens drove the limit of a server that needs 64 for each
# further slot beyond what it bore, and it fell over with nothing to see before.
_TOKENS_A_RAISE = 64.0


class ConcurrencyLimit:
    """A limit between ``cold_slots`` and ``slots`` that trusts evidence."""

    def __init__(self, *, slots: int, cold_slots: int) -> None:
        self._boot_id = ""
        self._baseline = first_token.Baseline()
        self._limit = cold_slots
        self._restarted_at = float("-inf")
        self._has_leapt = False
        self._limit_before_error: int | None = None
        self._patience = 1
        self._healthy_tokens = 0.0
        self._keeps_up = True
        self.set_slots(slots=slots, cold_slots=cold_slots)

    @property
    def limit(self) -> int:
        """Attempts that may run at once."""
        return self._limit

    @property
    def is_cold(self) -> bool:
        """Whether the limit is still below the configured slots."""
        return self._limit < self._slots

    @property
    def is_suspicious(self) -> bool:
        """Whether one sign of a cold server awaits confirmation."""
        return self._has_leapt or self._limit_before_error is not None

    @property
    def overdue_after(self) -> float | None:
        """Seconds without a first token that count as a leap, if known."""
        return self._baseline.leap_after

    def allows(self, *, running: int, without_token: int) -> bool:
        """Tell whether one more attempt may start.

        Args:
            running: Attempts that hold a slot.
            without_token: Those of them that have shown no first token.
        """
        if running >= self._limit:
            return False
        return not self._has_leapt or without_token < self._cold_slots

    def set_slots(self, *, slots: int, cold_slots: int) -> None:
        """Take the slots of a new configuration; what is known stays."""
        if not 1 <= cold_slots <= slots:
            raise ValueError(f"cold_slots: {cold_slots} is not in 1..{slots}")
        self._slots = slots
        self._cold_slots = cold_slots
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
        self._has_leapt = False
        self._limit_before_error = None
        self._healthy_tokens = 0.0
        self._keeps_up = True

    def first_token(self, seconds: float, now: float) -> None:
        """Note the time to first token of an attempt, seconds."""
        is_leap = self._baseline.is_leap(seconds)
        self._keeps_up = self._baseline.keeps_up(seconds)
        self._baseline.learn(seconds, is_cold=self.is_cold)
        if is_leap:
            self.overdue(now - seconds, now)
        else:
            self._clear()

    def overdue(self, started_at: float, now: float) -> None:
        """Note an attempt whose first token should long have come."""
        if self._is_old(started_at):
            return
        if self.is_suspicious:
            self._confirm_cold(now)
        else:
            self._has_leapt = True

    def finished(
        self,
        *,
        is_healthy: bool,
        started_at: float,
        now: float,
        tokens: float = _TOKENS_A_RAISE,
    ) -> None:
        """Note the end of an attempt.

        Args:
            is_healthy: Whether its answer was whole and no error.
            started_at: When it started at the server.
            now: The time.
            tokens: What it cost; an answer without tokens counts in full.
        """
        if is_healthy:
            self._clear_error()
            self._raise_limit(tokens)
        elif not self._is_old(started_at):
            self._failed(now)

    def _failed(self, now: float) -> None:
        if self.is_suspicious or self.is_cold:
            self._confirm_cold(now)
            return
        self._limit_before_error = self._limit
        self._limit = self._cold_slots

    def _raise_limit(self, tokens: float) -> None:
        if self.is_suspicious or not self._keeps_up or not self.is_cold:
            return
        self._healthy_tokens += min(tokens, _TOKENS_A_RAISE)
        if self._healthy_tokens < _TOKENS_A_RAISE * self._patience:
            return
        self._healthy_tokens = 0.0
        self._limit += 1
        if not self.is_cold:
            self._patience = 1

    def _is_old(self, started_at: float) -> bool:
        # Eight attempts that break together are one event. Without this the
        # last six would count as new failures of a server that has already
        # been cut to its cold limit, and its ramp would take minutes.
        return started_at < self._restarted_at

    def _confirm_cold(self, now: float) -> None:
        self._restarted_at = now
        self._patience = min(_MOST_PATIENCE, 2 * self._patience)
        self.restart()

    def _clear(self) -> None:
        self._has_leapt = False
        self._clear_error()

    def _clear_error(self) -> None:
        if self._limit_before_error is None:
            return
        self._limit = min(self._slots, self._limit_before_error)
        self._limit_before_error = None
