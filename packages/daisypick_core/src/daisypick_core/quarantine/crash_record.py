"""What the fleet knows of one request that may crash servers.

A record holds a level, the number of crashes in a row, and an epoch that rises
whenever the request ends well and its level starts again at zero. Two records
of different epochs are merged by taking the later one, two of one epoch field
by field. So routers may exchange them in any order and any number of times.

The level counts crashes that follow each other: it is one more than the level
known when the request was sent. Several servers that lose power at the same
moment raise it by one only, however often the request was running there.

Of the crashes of a request one is excused, and does not count towards its
quarantine, if another request that is quarantined was at one of them as well.

Examples:
    >>> record = NO_RECORD.after_crash("i-1/1")
    >>> record.level, sorted(record.ends)
    (1, ['i-1/1'])
    >>> record.after_success()
    CrashRecord(epoch=1, level=0, excused=0, ends=frozenset())
    >>> merged = record.merge(NO_RECORD.after_crash("i-2/1"))
    >>> merged.level, sorted(merged.ends)
    (1, ['i-1/1', 'i-2/1'])
"""

import typing

# Level from which a request shares no server with others of such a level. One
# of two crashes is easily shared with the request that caused both.
ISOLATION_LEVEL = 2
# Level from which a request is refused.
QUARANTINE_LEVEL = 3
# After three crashes a request may reach three servers more. Two of these are
# left for copies that are sent before their router knows of the last crash.
_MAX_EXCUSED = 1
# Ends of one request that are remembered. Beyond it the last ones by name stay,
# which are the same at each router.
_MAX_ENDS = 16


class CrashRecord(typing.NamedTuple):
    """The crashes in a row of one request.

    Attributes:
        epoch: Number of times that the request ended well after a crash.
        level: Crashes in a row since then.
        excused: Crashes among them that do not count towards a quarantine.
        ends: Instances of servers that crashed with the request since then.
    """

    epoch: int
    level: int
    excused: int = 0
    ends: frozenset[str] = frozenset()

    @property
    def is_isolated(self) -> bool:
        """Whether the request must be kept apart from others like it."""
        return self.level >= ISOLATION_LEVEL

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused."""
        return self.level - self.excused >= QUARANTINE_LEVEL

    @property
    def may_be_excused(self) -> bool:
        """Whether the request is refused, but need not be.

        One whose copies crashed servers side by side has used up what may be
        left to it.
        """
        return (
            self.is_quarantined
            and self.excused < _MAX_EXCUSED
            and len(self.ends) <= QUARANTINE_LEVEL
        )

    def after_crash(self, end: str) -> "CrashRecord":
        """Return the record after one more crash, of a server's instance."""
        return self._replace(
            level=self.level + 1, ends=_limit(self.ends | {end})
        )

    def after_excuse(self) -> "CrashRecord":
        """Return the record with one crash excused."""
        return self._replace(excused=self.excused + 1)

    def after_success(self) -> "CrashRecord":
        """Return the record after the request ended well."""
        return CrashRecord(epoch=self.epoch + 1, level=0)

    def merge(self, other: "CrashRecord") -> "CrashRecord":
        """Return the record with all that two records tell."""
        if self.epoch != other.epoch:
            return max(self, other, key=lambda record: record.epoch)
        return CrashRecord(
            epoch=self.epoch,
            level=max(self.level, other.level),
            excused=max(self.excused, other.excused),
            ends=_limit(self.ends | other.ends),
        )


def _limit(ends: frozenset[str]) -> frozenset[str]:
    if len(ends) <= _MAX_ENDS:
        return ends
    return frozenset(sorted(ends)[-_MAX_ENDS:])


NO_RECORD = CrashRecord(epoch=0, level=0)
