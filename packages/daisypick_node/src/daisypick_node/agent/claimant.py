"""Who claims an idempotency key before its attempt starts.

The simplest claimant that is right: one object a key, created by conditional
update. It costs a write a request, so batching claimants replace it where
the store's rate matters.
"""

import typing

from daisypick_core.messages import attempt as attempt_message
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
import msgspec
import xxhash

from daisypick_node.platform import interface

KIND = "claim"


class Claimant(typing.Protocol):
    """Claims keys; ``None`` means that the attempt may start."""

    def claim(
        self, attempt: attempt_message.Attempt
    ) -> failure_value.Failure | None:
        """Claim the attempt's key, or say why it must not start."""
        ...


class _Claim(typing.NamedTuple):
    attempt_id: str
    fingerprint: str


class ObjectClaimant:
    """Claims each key as an object of its own."""

    def __init__(self, *, platform: interface.PlatformClient) -> None:
        self._platform = platform

    def claim(
        self, attempt: attempt_message.Attempt
    ) -> failure_value.Failure | None:
        """Create the key's object, settle a lost answer by reading back."""
        key = f"{attempt.organisation}\0{attempt.idempotency_key}"
        name = xxhash.xxh3_128_hexdigest(key.encode())
        claim = _Claim(
            attempt_id=attempt.attempt_id, fingerprint=attempt.fingerprint
        )
        written = self._platform.put(
            KIND, name, msgspec.json.encode(claim), if_version=None
        )
        if not failure_value.is_failure(written):
            return None
        if written.code in (
            codes.PLATFORM_CONFLICT,
            codes.PLATFORM_ANSWER_LOST,
        ):
            return self._settle(name, claim)
        return _unavailable(written.reason)

    def _settle(self, name: str, claim: _Claim) -> failure_value.Failure | None:
        stored = self._platform.get(KIND, name)
        if failure_value.is_failure(stored):
            return _unavailable(stored.reason)
        holder = msgspec.json.decode(stored.value, type=_Claim)
        if holder == claim:
            return None
        if holder.fingerprint != claim.fingerprint:
            return failure_value.Failure(
                code=codes.KEY_REUSED,
                reason="Idempotency-Key: used for another request",
            )
        return failure_value.Failure(
            code=codes.KEY_IN_PROGRESS,
            reason="Idempotency-Key: claimed by an earlier request",
            retry_after=1.0,
        )


def _unavailable(reason: str) -> failure_value.Failure:
    return failure_value.Failure(
        code=codes.STORE_UNAVAILABLE, reason=reason, retry_after=1.0
    )
