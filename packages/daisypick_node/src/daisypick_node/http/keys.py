"""Authentication of fleet processes and operators by bearer keys.

Processes of the fleet share fleet keys; operators have keys of their own. Keys
can be rotated: a process accepts all keys of a list and sends the first. Keys
are compared in constant time to prevent timing attacks.
"""

import hmac
import typing

FLEET = "fleet"
OPERATOR = "operator"
_BEARER = "bearer "


class Keys(typing.NamedTuple):
    """The keys that a process accepts; it sends the first fleet key."""

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
    """Return the roles that an ``Authorization`` header grants.

    Examples:
        >>> keys = Keys(fleet=("new", "old"), operator=("op",))
        >>> sorted(roles(keys, "Bearer old")), sorted(roles(keys, "Bearer x"))
        (['fleet'], [])
    """
    token = bearer_token(authorization).encode()
    granted = set()
    for role, accepted in ((FLEET, keys.fleet), (OPERATOR, keys.operator)):
        for key in accepted:
            if key and hmac.compare_digest(token, key.encode()):
                granted.add(role)
    return frozenset(granted)
