"""Who may call what.

Processes of the fleet know each other by a fleet key, operators have another.
Each can be rotated: a process accepts all keys of its list and sends the
first. Keys are compared in constant time, so that the time of a refusal tells
nothing about them.
"""

import hmac
import typing

FLEET = "fleet"
OPERATOR = "operator"
_BEARER = "bearer "


class Keys(typing.NamedTuple):
    """The keys that a process accepts, the one that it sends first."""

    fleet: tuple[str, ...]
    operator: tuple[str, ...]


def bearer_token(authorization: str) -> str:
    """Return the token of an ``Authorization`` header, ``""`` if none.

    Examples:
        >>> bearer_token("Bearer abc"), bearer_token("Basic abc")
        ('abc', '')
    """
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return ""
    return authorization[len(_BEARER) :].strip()


def roles(keys: Keys, authorization: str) -> frozenset[str]:
    """Return the roles that an ``Authorization`` header proves.

    Examples:
        >>> keys = Keys(fleet=("new", "old"), operator=("op",))
        >>> sorted(roles(keys, "Bearer old")), sorted(roles(keys, "Bearer x"))
        (['fleet'], [])
    """
    token = bearer_token(authorization).encode()
    proven = set()
    for role, accepted in ((FLEET, keys.fleet), (OPERATOR, keys.operator)):
        for key in accepted:
            if key and hmac.compare_digest(token, key.encode()):
                proven.add(role)
    return frozenset(proven)
