"""What a scheduler believes of its engines, in a few lines of a log.

The number of engines that are named is bounded, so that a line does not grow
with the fleet; sums count all of them.
"""

import heapq

from daisypick_core.scheduling import engine_fleet

# Engines that are named: the fullest ones.
_MAX_LISTED = 48


def describe_engines(
    fleet: engine_fleet.EngineFleet, now: float
) -> list[dict[str, object]]:
    """Return a line for each of the fullest engines."""
    names = heapq.nlargest(
        _MAX_LISTED,
        fleet.state_by_server,
        key=lambda name: fleet.find(name).running,
    )
    return [_describe_engine(fleet, name, now) for name in names]


def describe_sums(fleet: engine_fleet.EngineFleet) -> dict[str, int]:
    """Return sums over all engines."""
    return {
        "servers": len(fleet),
        "slots": fleet.slots,
        "running": fleet.running,
    }


def _describe_engine(
    fleet: engine_fleet.EngineFleet, name: str, now: float
) -> dict[str, object]:
    engine = fleet.find(name)
    return {
        "server": name,
        "running": engine.running,
        "unread": int(engine.prefill_backlog(now)),
        "held": engine.cache.pinned,
        "token_us": round(engine.speed.token_seconds * 1e6, 1),
        "base": round(engine.speed.predict(0.0), 4),
        "spread": round(engine.speed.relative_error, 3),
        "cold": fleet.state_by_server[name].cold_until > now,
        "aside": fleet.outcomes.is_aside(name, now),
    }
