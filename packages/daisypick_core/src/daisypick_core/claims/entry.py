"""The stored form of a claim of an idempotency key.

An entry names the attempt that may run for a key, with the address and
incarnation of its agent. The caller's key itself is not stored but replaced
by a digest of organisation and key, so that no text of a caller reaches the
platform or a log.

Examples:
    >>> digest_of("union", "k1") == digest_of("union", "k1")
    True
    >>> digest_of("union", "k1") == digest_of("unio", "nk1")
    False
    >>> 0 <= shard_of(digest_of("union", "k1")) < SHARD_COUNT
    True
"""

import base64
import hashlib
import typing

from daisypick_core.messages import attempt as attempt_message

# Part of the protocol, not a setting: two agents with different counts would
# look up one key in two shards and could both be granted it.
SHARD_COUNT = 64

_DIGEST_BYTES = 16
_SHARD_DIGEST_CHARACTERS = 4


# Attempt id in the entry of a released key.
RELEASED = ""


class Entry(typing.NamedTuple):
    """Which attempt may run for a key.

    Attributes:
        digest: Digest of organisation and key.
        fingerprint: Hash of the request, which detects reuse of a key.
        attempt_id: The attempt that holds the key, ``RELEASED`` if it is
            free again.
        agent: Address of its agent, ``host:port``.
        incarnation: Incarnation of that agent.
        epoch: Epoch of the attempt.
    """

    digest: str
    fingerprint: str
    attempt_id: str
    agent: str
    incarnation: str
    epoch: int


def digest_of(organisation: str, key: str) -> str:
    """Return the digest of an organisation's key, 22 characters.

    The hash is cryptographic because callers choose keys and must not be able
    to choose one that collides with another organisation's.
    """
    name = organisation.encode()
    text = b"%d:%s%s" % (len(name), name, key.encode())
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


def shard_of(digest: str) -> int:
    """Return the number of the shard that a digest belongs to."""
    head = base64.urlsafe_b64decode(digest[:_SHARD_DIGEST_CHARACTERS])
    return int.from_bytes(head, "big") % SHARD_COUNT


def from_attempt(attempt: attempt_message.Attempt, *, agent: str) -> Entry:
    """Return the entry with which an agent claims an attempt's key.

    Raises:
        ValueError: The attempt has no idempotency key.
    """
    if attempt.idempotency_key is None:
        raise ValueError(f"attempt: {attempt.attempt_id} has no key")
    return Entry(
        digest=digest_of(attempt.organisation, attempt.idempotency_key),
        fingerprint=attempt.fingerprint,
        attempt_id=attempt.attempt_id,
        agent=agent,
        incarnation=attempt.incarnation,
        epoch=attempt.epoch,
    )
