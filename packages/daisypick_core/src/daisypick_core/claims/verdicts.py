"""Verdicts on an agent's claim, as reported to its gate."""

import typing

from daisypick_core.claims import entry as claim_entry
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value


class Granted(typing.NamedTuple):
    """Only this attempt may run for its key."""

    @property
    def refusal(self) -> None:
        """``None``, since the attempt is not refused."""
        return None


class Refused(typing.NamedTuple):
    """The attempt must not run."""

    refusal: failure_value.Failure


class SameAnswer(typing.NamedTuple):
    """Another attempt of the key runs or ran; its response is used.

    The attempt itself must not run. Its agent relays the holder's response
    from the first byte; if it cannot, it returns the refusal.
    """

    holder: claim_entry.Entry

    @property
    def refusal(self) -> failure_value.Failure:
        """The failure returned if the holder's response is not available."""
        return failure_value.Failure(
            code=codes.KEY_IN_PROGRESS,
            reason="another call with this key was there first",
            retry_after=1.0,
        )


Verdict = Granted | Refused | SameAnswer


def refuse(code: codes.Code, reason: str) -> Refused:
    """Return a refusal with a code and a reason."""
    return Refused(refusal=failure_value.Failure(code=code, reason=reason))
