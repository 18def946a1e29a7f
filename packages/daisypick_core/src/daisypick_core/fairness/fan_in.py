"""How often senders may report, set by the receiver.

A receiver counts who reports to it and tells each, in its answer, when the
next report is welcome: at the usual period, or later when there are so many
senders that their reports would cost it more than its budget.

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
# One exchange costs about a millisecond of processor time at both ends, and
# control may spend 30 ms a second; half of that is for reports received.
REPORTS_PER_SECOND = 15.0
# A row costs some 100 bytes there and back, and a collector sends it on to two
# heads; a node may spend 27 KB a second on all control, 6 KB/s of which the
# configuration takes.
ROWS_PER_SECOND = 95.0
# Periods without a report after which a sender counts as gone.
SILENT_PERIODS = 3.0


class FanIn:
    """The senders of reports, and the pace that they are asked to keep."""

    def __init__(self, *, period: float) -> None:
        self._period = period
        self._heard_at_by_sender: dict[str, float] = {}
        self._rows_by_sender: dict[str, int] = {}

    @property
    def next_report_in(self) -> float:
        """Seconds after which the next report of a sender is welcome."""
        return max(
            self._period,
            len(self._heard_at_by_sender) / REPORTS_PER_SECOND,
            sum(self._rows_by_sender.values()) / ROWS_PER_SECOND,
        )

    @property
    def silence(self) -> float:
        """Seconds without a report after which a sender counts as gone."""
        return SILENT_PERIODS * self.next_report_in

    def note(self, sender: str, now: float, *, rows: int = 0) -> None:
        """Note a report with so many rows."""
        self._heard_at_by_sender[sender] = now
        self._rows_by_sender[sender] = rows

    def count(self, now: float) -> int:
        """Forget silent senders and return how many are left."""
        silence = self.silence
        self._heard_at_by_sender = {
            sender: heard_at
            for sender, heard_at in self._heard_at_by_sender.items()
            if now - heard_at <= silence
        }
        self._rows_by_sender = {
            sender: self._rows_by_sender[sender]
            for sender in self._heard_at_by_sender
        }
        return len(self._heard_at_by_sender)

    def is_heard(self, sender: str) -> bool:
        """Tell whether a sender was counted last time."""
        return sender in self._heard_at_by_sender
