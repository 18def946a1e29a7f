"""What the fleet knows of one request that may crash servers.

A record holds a level, the number of crashes in a row, and an epoch that rises
whenever the request ends well and its level starts again at zero. Records are
ordered, epoch first, and two of them are merged by taking the larger one. So
routers may exchange them in any order and any number of times.

The level counts crashes that follow each other: it is one more than the level
known when the request was sent. Several servers that lose power at the same
moment raise it by one only, however often the request was running there.

Examples:
    >>> record = NO_RECORD.after_crash()
    >>> record
    CrashRecord(epoch=0, level=1)
    >>> record.after_success()
    CrashRecord(epoch=1, level=0)
    >>> max(record, NO_RECORD.after_crash())
    CrashRecord(epoch=0, level=1)
"""

import typing

# Level from which a request shares no server with others of such a level. One
# of two crashes is easily shared with the request that caused both.
ISOLATION_LEVEL = 2
# Level from which a request is refused.
QUARANTINE_LEVEL = 3


class CrashRecord(typing.NamedTuple):
    """The crashes in a row of one request.

    Attributes:
        epoch: Number of times that the request ended well after a crash.
        level: Crashes in a row since then.
    """

    epoch: int
    level: int

    @property
    def is_isolated(self) -> bool:
        """Whether the request must be kept apart from others like it."""
        return self.level >= ISOLATION_LEVEL

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused."""
        return self.level >= QUARANTINE_LEVEL

    def after_crash(self) -> "CrashRecord":
        """Return the record after one more crash."""
        return self._replace(level=self.level + 1)

    def after_success(self) -> "CrashRecord":
        """Return the record after the request ended well."""
        return CrashRecord(epoch=self.epoch + 1, level=0)


NO_RECORD = CrashRecord(epoch=0, level=0)
