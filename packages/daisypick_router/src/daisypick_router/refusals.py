"""Writes refusals as responses to callers."""

from daisypick_core.results import failure


def write_headers(refusal: failure.Failure) -> list[tuple[bytes, bytes]]:
    """Return the headers of a refusal."""
    headers = [(b"Content-Type", b"application/problem+json")]
    if refusal.retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % refusal.retry_after))
    return headers


def write_body(refusal: failure.Failure) -> bytes:
    """Return the body, which states whether the request ran."""
    code = refusal.code
    return b'{"code": %d, "title": "%b", "ran": "%b"}' % (
        code.number,
        code.title.encode(),
        code.ran.encode(),
    )
