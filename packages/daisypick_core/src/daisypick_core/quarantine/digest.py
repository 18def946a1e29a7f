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

import hashlib

# 64 bits: among a million different requests two share a digest with a
# probability of 3 in 100 million.
_DIGEST_BYTES = 8


def find_digest(
    *,
    method: bytes,
    host: str,
    target: bytes,
    organisation: str | None,
    body: bytes,
) -> str:
    """Return the digest as hexadecimal text.

    Args:
        method: HTTP method.
        host: Value of the Host header.
        target: Path and query.
        organisation: Organisation of the caller, ``None`` on public routes.
        body: Complete body.
    """
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    fields = (
        method,
        host.encode("latin-1", "replace"),
        target,
        (organisation or "").encode("latin-1", "replace"),
        body,
    )
    for field in fields:
        hashed.update(b"%d:" % len(field))
        hashed.update(field)
    return hashed.hexdigest()
