"""Limits the rate of reports at the receiver.

A receiver counts its active senders and returns to each, in its response, the
time until the next report: the usual period, or longer if there are so many
senders that their reports would exceed the receiver's budget.

Examples:
    >>> fan_in = FanIn(period=1.0)
    >>> for sender in range(30):
    ...     fan_in.note(str(sender), 0.0)
    >>> fan_in.next_report_in, fan_in.count(1.0), fan_in.count(9.0)
    (2.0, 30, 0)
    >>> fan_in.note("a", 9.0, rows=380); fan_in.next_report_in
    4.0
"""

DEFAULT_PERIOD = 1.0
# One exchange costs about 1 ms of processor time at each end, and control
# traffic may use 30 ms per second; half of that is for received reports.
REPORTS_PER_SECOND = 15.0
# A row takes about 100 bytes in both directions together, and a collector
# forwards it to two heads. A node may use 27 KB/s for all control traffic, of
# which the configuration takes 6 KB/s.
ROWS_PER_SECOND = 95.0
# Periods without a report after which a sender is removed.
TIMEOUT_PERIODS = 3.0


class FanIn:
    """The active senders of reports and their reporting interval."""

    def __init__(self, *, period: float) -> None:
        self._period = period
        self._reported_at_by_sender: dict[str, float] = {}
        self._rows_by_sender: dict[str, int] = {}

    @property
    def next_report_in(self) -> float:
        """Seconds after which a sender may send its next report."""
        return max(
            self._period,
            len(self._reported_at_by_sender) / REPORTS_PER_SECOND,
            sum(self._rows_by_sender.values()) / ROWS_PER_SECOND,
        )

    @property
    def timeout(self) -> float:
        """Seconds without a report after which a sender is removed."""
        return TIMEOUT_PERIODS * self.next_report_in

    def note(self, sender: str, now: float, *, rows: int = 0) -> None:
        """Record a report and its number of rows."""
        self._reported_at_by_sender[sender] = now
        self._rows_by_sender[sender] = rows

    def count(self, now: float) -> int:
        """Remove timed-out senders and return how many are left."""
        timeout = self.timeout
        self._reported_at_by_sender = {
            sender: reported_at
            for sender, reported_at in self._reported_at_by_sender.items()
            if now - reported_at <= timeout
        }
        self._rows_by_sender = {
            sender: self._rows_by_sender[sender]
            for sender in self._reported_at_by_sender
        }
        return len(self._reported_at_by_sender)

    def is_active(self, sender: str) -> bool:
        """Return whether a sender was included in the latest count."""
        return sender in self._reported_at_by_sender
