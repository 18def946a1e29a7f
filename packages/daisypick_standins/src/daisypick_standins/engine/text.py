"""The answer text as a function of the request, and its check.

A prompt may hold a directive ``[marker=NAME tokens=COUNT]``. The answer
begins with the marker, continues with words derived from the prompt and ends
with a checksum of the text before it, so that a reader can verify that the
answer is complete and belongs to its own request.

Examples:
    >>> answer = make_tokens("Plan a visit [marker=m7 tokens=5]")
    >>> len(answer), answer[0]
    (5, 'marker=m7')
    >>> check("".join(answer), "m7")
    ''
    >>> check("".join(answer), "m8")
    'answer to m7, not to m8'
    >>> check("".join(answer[:-1]), "m7")
    'answer is not whole'
"""

import re

import xxhash

_DIRECTIVE = re.compile(r"\[marker=([\w.:-]+)(?: tokens=(\d+))?\]")
_WORDS = (
    "fir",
    "spruce",
    "pine",
    "row",
    "plot",
    "saw",
    "tree",
    "farm",
    "star",
    "lace",
    "boot",
    "sole",
    "stitch",
    "thread",
    "name",
    "number",
)
_SUM = " sum="
MIN_TOKENS = 2
MAX_TOKENS = 4096
_DEFAULT_SPREAD = 64
CHARACTERS_PER_TOKEN = 4


def find_marker(prompt: str) -> str:
    """Return the marker of a prompt, or ``""`` if it has none."""
    match = _DIRECTIVE.search(prompt)
    return match.group(1) if match else ""


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def make_tokens(prompt: str, max_tokens: int = MAX_TOKENS) -> list[str]:
    """Return the tokens of the answer to a prompt."""
    seed = xxhash.xxh32_intdigest(prompt.encode())
    match = _DIRECTIVE.search(prompt)
    count = int(match.group(2)) if match and match.group(2) else None
    if count is None:
        count = MIN_TOKENS + seed % _DEFAULT_SPREAD
    count = max(MIN_TOKENS, min(count, max_tokens, MAX_TOKENS))
    tokens = [f"marker={find_marker(prompt)}"]
    for index in range(count - MIN_TOKENS):
        tokens.append(" " + _WORDS[(seed + index * index) % len(_WORDS)])
    tokens.append(_SUM + _checksum("".join(tokens)))
    return tokens


def check(answer: str, marker: str) -> str:
    """Return the error of an answer, ``""`` if complete and for ``marker``."""
    body, found, checksum = answer.rpartition(_SUM)
    if not found or checksum != _checksum(body):
        return "answer is not whole"
    own = body.split(" ", 1)[0].removeprefix("marker=")
    if own != marker:
        return f"answer to {own}, not to {marker}"
    return ""


def _checksum(body: str) -> str:
    return xxhash.xxh32_hexdigest(body.encode())
