"""The estimated state of a scheduler's engines, for log lines.

The number of engines listed is bounded, so that a line does not grow with the
fleet; the sums are over all engines.
"""

import heapq

from daisypick_core.scheduling import engine_fleet

# Number of engines that are listed: those with the most requests.
_MAX_LISTED = 48


def describe_engines(
    fleet: engine_fleet.EngineFleet, now: float
) -> list[dict[str, object]]:
    """Return a row for each of the engines with the most requests."""
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
        "aside": fleet.outcomes.is_ejected(name, now),
    }
