"""Identifies a request across attempts and routers.

A caller that repeats a request uses a new attempt id, and often another router.
What it asks stays the same: method, host, path, body and the organisation that
asks. Two requests with the same digest are treated as one request that comes
again.

Examples:
    >>> first = find_digest(
    ...     method=b"POST", host="a.example", target=b"/ask/1",
    ...     organisation="farm", body=b"{}",
    ... )
    >>> first
    '45597dff8627b5a7'
    >>> first == find_digest(
    ...     method=b"POST", host="a.example", target=b"/ask/1",
    ...     organisation="other", body=b"{}",
    ... )
    False
"""

from collections.abc import Iterable
import functools
import hashlib

# 64 bits: among a million different requests two share a digest with a
# probability of 3 in 100 million.
_DIGEST_BYTES = 8
# Parts whose keys are remembered, so that frequent ones are hashed once.
_MAX_PART_KEYS = 8192
# Begins the keys of parts, which digests of requests do not begin with.
PART_PREFIX = "p"


def find_digest(
    *,
    method: bytes,
    host: str,
    target: bytes,
    organisation: str | None,
    body: bytes | Iterable[bytes],
) -> str:
    """Return the digest as hexadecimal text.

    Args:
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query.
        organisation: Organisation of the caller, ``None`` on public routes.
        body: Complete body, or its parts in order; where they are divided makes
            no difference.
    """
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    fields = (
        method,
        host.encode("latin-1", "replace"),
        target,
        (organisation or "").encode("latin-1", "replace"),
    )
    for field in fields:
        hashed.update(b"%d:" % len(field))
        hashed.update(field)
    parts = [body] if isinstance(body, bytes) else list(body)
    hashed.update(b"%d:" % sum(map(len, parts)))
    for part in parts:
        hashed.update(part)
    return hashed.hexdigest()


@functools.lru_cache(maxsize=_MAX_PART_KEYS)
def find_part_key(service: str, name: str) -> str:
    """Return the key of a prompt part, of the same length for each part.

    Callers choose the names of parts, so that the name itself could be long.

    Args:
        service: Name of the model service: another model may be able to read
            the part.
        name: Name of the part.

    Examples:
        >>> find_part_key("assist", "5c1e07a2")
        'p5551ec00de8bf2aa'
    """
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (service, name):
        data = field.encode("utf-8", "replace")
        hashed.update(b"%d:" % len(data))
        hashed.update(data)
    return PART_PREFIX + hashed.hexdigest()
