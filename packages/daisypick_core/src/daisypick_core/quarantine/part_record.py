"""What the fleet knows of one prompt part that may crash servers.

A record counts the crashes of requests with the part that follow each other,
and the answers to such requests that went on meanwhile. An answer that has
gone on past its first event shows that the part does not crash each server.
With twice as many answers as crashes the record starts again, at a new epoch.

Records are merged like those of requests: the later epoch is taken, and
within an epoch each field by itself. So routers may exchange them in any order
and any number of times.

Examples:
    >>> record = NO_RECORD
    >>> for number in range(3):
    ...     record = record.after_crash(f"i-{number}/1", f"d-{number}")
    >>> record.is_quarantined
    True
    >>> answered = NO_RECORD.after_crash("i-1/1", "d-1").after_answer()
    >>> answered.is_suspected, answered.after_answer() == NO_RECORD._replace(
    ...     epoch=1
    ... )
    (False, True)

See Also:
    crash_record: the records of whole requests.
"""

import typing

# Crashes after which a part is quarantined if no answer to it went on.
QUARANTINE_CRASHES = 3
# The same for a part with answers that are fewer than its crashes.
_DISPUTED_CRASHES = 5
# From this number of crashes on, such a part is suspected.
_DISPUTED_SUSPECT_CRASHES = 3
# Answers for each crash after which a part counts as sound again.
_CLEARING_ANSWERS = 2
# Requests of which at least so many must have been at the crashes: one that
# comes again is quarantined by itself.
_MIN_REQUESTS = 2
# Ends of one part that are remembered. Beyond it the last ones by name stay,
# which are the same at each router.
_MAX_ENDS = 16


class PartRecord(typing.NamedTuple):
    """The crashes of requests with one prompt part.

    Attributes:
        epoch: Number of times that the part was found to be sound.
        crashes: Crashes that follow each other since then.
        answers: Answers that went on since the first of them.
        ends: Instances of servers that crashed with such a request.
        requests: Digests of requests that were there, two at most.
    """

    epoch: int
    crashes: int
    answers: int = 0
    ends: frozenset[str] = frozenset()
    requests: frozenset[str] = frozenset()

    @property
    def is_suspected(self) -> bool:
        """Whether the part may be what crashes servers."""
        if not self.answers:
            return self.crashes > 0
        return (
            self.crashes >= _DISPUTED_SUSPECT_CRASHES
            and self.crashes > self.answers
        )

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with the part are refused."""
        if len(self.requests) < _MIN_REQUESTS:
            return False
        if not self.answers:
            return self.crashes >= QUARANTINE_CRASHES
        return self.crashes >= _DISPUTED_CRASHES and self.crashes > self.answers

    def after_crash(self, end: str, request: str) -> "PartRecord":
        """Return the record after one more crash.

        Args:
            end: The instance of the server.
            request: Digest of the request that it had.
        """
        return self._replace(
            crashes=self.crashes + 1,
            ends=_limit(self.ends | {end}, _MAX_ENDS),
            requests=_limit(self.requests | {request}, _MIN_REQUESTS),
        )

    def after_answer(self) -> "PartRecord":
        """Return the record after an answer went on past its first event."""
        if self.answers + 1 >= _CLEARING_ANSWERS * self.crashes:
            return self.after_release()
        return self._replace(answers=self.answers + 1)

    def after_release(self) -> "PartRecord":
        """Return the record of a part that is known to be sound."""
        return PartRecord(epoch=self.epoch + 1, crashes=0)

    def merge(self, other: "PartRecord") -> "PartRecord":
        """Return the record with all that two records tell."""
        if self.epoch != other.epoch:
            return max(self, other, key=lambda record: record.epoch)
        return PartRecord(
            epoch=self.epoch,
            crashes=max(self.crashes, other.crashes),
            answers=max(self.answers, other.answers),
            ends=_limit(self.ends | other.ends, _MAX_ENDS),
            requests=_limit(self.requests | other.requests, _MIN_REQUESTS),
        )


def _limit(names: frozenset[str], limit: int) -> frozenset[str]:
    if len(names) <= limit:
        return names
    return frozenset(sorted(names)[-limit:])


NO_RECORD = PartRecord(epoch=0, crashes=0)
