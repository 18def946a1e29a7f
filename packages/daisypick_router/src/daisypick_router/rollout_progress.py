"""What this router knows of the roll-outs of all services.

Shared by the choice of versions, the counting of answers and the reports to
other routers.
"""

import collections
import time

from daisypick_core.rollout import evidence as evidences
from daisypick_core.rollout import exposure as exposures
from daisypick_core.rollout import state as states


class Progress:
    """What this router has seen of one roll-out.

    Attributes:
        started_at: When the order was given.
        heard_at: When the one that decides last told the state.
        exposure: Requests that may test the target.
        evidence: Answers since the last report.
        longest: Longest duration of a request at another version.
    """

    def __init__(self, *, started_at: float, share: float) -> None:
        self.started_at = started_at
        self.heard_at = time.monotonic()
        self.exposure = exposures.Exposure(share=share)
        self.evidence = evidences.Evidence()
        self.longest = 0.0


class Records:
    """States of the roll-outs, and this router's requests in them.

    Args:
        share: Share of a service's requests that a version may get before it
            is approved. With zero there are no roll-outs, and all servers of a
            service are alike.

    Attributes:
        share: The same share.
        state_by_service: State of the newest roll-out of each service.
        progress_by_service: Requests in each roll-out that has not succeeded.
        running: Requests at servers by service and version.
    """

    def __init__(self, *, share: float) -> None:
        self.share = share
        self.state_by_service: dict[str, states.RolloutState] = {}
        self.progress_by_service: dict[str, Progress] = {}
        self.running: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @property
    def is_active(self) -> bool:
        """Whether versions are rolled out on this platform."""
        return self.share > 0.0
