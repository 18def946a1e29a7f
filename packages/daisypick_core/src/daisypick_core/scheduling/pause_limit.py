"""How long an engine may prefill without a break for its running answers.

While an engine prefills, its running answers hardly advance. If it prefills for
longer than callers accept as a pause between two events, all its answers are
late. How much of that time prefill may take depends on what nobody announces:
the tokens of an event, the size of a chunk, moments in which engines are slow.
So a factor is learned from the longest pauses of ended answers: it falls with
each answer whose pause was too long, and rises with each other one, until about
one in ten is too long. Where prefill makes no pause too long, the factor grows
until it limits nothing.

Examples:
    >>> limit = PauseLimit()
    >>> round(limit.find_prefill_seconds(0.4, event_seconds=0.05), 2)
    0.35
    >>> for _ in range(10):
    ...     limit.learn(longest=0.5, limit=0.4)
    >>> round(limit.find_prefill_seconds(0.4, event_seconds=0.05), 2)
    0.14
"""

# Changes of the factor with an answer. Their ratio sets the share of answers
# with too long a pause at which the factor stays: one in ten.
_RISE = 1.01
_FALL = 0.91
_MIN_FACTOR, _MAX_FACTOR = 0.2, 1000.0


class PauseLimit:
    """Longest prefill without a break, for the engines of a service."""

    def __init__(self) -> None:
        self.factor = 1.0

    def learn(self, *, longest: float, limit: float) -> None:
        """Learn from an answer that has ended.

        Args:
            longest: Its longest pause between two events, in seconds.
            limit: Longest pause that its caller accepts.
        """
        factor = self.factor * (_FALL if longest > limit else _RISE)
        self.factor = min(max(factor, _MIN_FACTOR), _MAX_FACTOR)

    def find_prefill_seconds(
        self, limit: float, *, event_seconds: float
    ) -> float:
        """Return for how long an engine may prefill without a break.

        Args:
            limit: Longest pause that the callers of its answers accept.
            event_seconds: Its time from event to event beside no prefill.
        """
        return max(limit - event_seconds, 0.0) * self.factor
