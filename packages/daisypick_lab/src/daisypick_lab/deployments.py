"""Size and load of embedded fleets: the demo and the reference deployments.

Examples:
    >>> [len(s.data_centres) for s in (DEMO, UNION, STUDIO)]
    [2, 4, 3]
    >>> len(UNION.profiles), UNION.replicas, UNION.plain_replicas
    (16, 6, 4)
"""

import typing

from daisypick_lab import load
from daisypick_standins.engine import settings as engine_settings

_LARGE_COUNT = 4
_OVERLOAD_WORKERS = 40


class Deployment(typing.NamedTuple):
    """Description of a fleet and its load.

    Attributes:
        name: Name of the deployment.
        data_centres: Names of the data centres.
        routers: Number of routers.
        model_service: Name of the model service.
        replicas: Number of its backend servers, distributed over the data
            centres.
        plain_service: Name of the plain service.
        plain_replicas: Number of its backend servers.
        engine: Settings of the engines.
        profiles: Load profile of each organisation.
        leaving: The data centre that a run takes out of service and
            restores.
    """

    name: str
    data_centres: tuple[str, ...]
    routers: int
    model_service: str
    replicas: int
    plain_service: str
    plain_replicas: int
    engine: engine_settings.EngineSettings
    profiles: tuple[load.Profile, ...]
    leaving: str


# One response of the shortest length warms an engine up for one more request.
_WARM_TOKENS_PER_SLOT = 8


def _make_engine(slots: int) -> engine_settings.EngineSettings:
    cold_slots = 2
    return engine_settings.EngineSettings(
        slots=slots,
        cold_slots=cold_slots,
        token_interval=0.04,
        full_slowdown=1.25,
        warm_tokens=_WARM_TOKENS_PER_SLOT * (slots - cold_slots),
        warm_seconds=60.0,
    )


def _make_profile(
    name: str, share: float, services: tuple[str, str], **fields: typing.Any
) -> load.Profile:
    model_service, plain_service = services
    return load.Profile(
        name=name,
        key=f"{name}-demo-key",
        share=share,
        model_service=model_service,
        plain_service=plain_service,
        **fields,
    )


def _make_profiles(
    names: tuple[str, ...], services: tuple[str, str]
) -> tuple[load.Profile, ...]:
    """Return profiles of a few large and many small organisations.

    A quarter of them is not backlogged. One of the large ones sends more than
    its share, another one calls a single router only.
    """
    profiles = []
    for number, name in enumerate(names):
        is_large = number < _LARGE_COUNT
        fields: dict[str, typing.Any] = {"workers": 12 if is_large else 6}
        if number == 0:
            fields["workers"] = _OVERLOAD_WORKERS
        if number == 1:
            fields["routers"] = (0,)
        if number % _LARGE_COUNT == _LARGE_COUNT - 1:
            fields |= {"workers": 1, "pause": 1.0, "plain_share": 0.5}
        share = float(_LARGE_COUNT) if is_large else 1.0
        profiles.append(_make_profile(name, share, services, **fields))
    return tuple(profiles)


_DEMO_SERVICES = ("assistant", "desk")
DEMO = Deployment(
    name="demo",
    data_centres=("sofia", "plovdiv"),
    routers=2,
    model_service="assistant",
    replicas=4,
    plain_service="desk",
    plain_replicas=1,
    engine=_make_engine(6),
    profiles=(
        _make_profile(
            "rila-farm", 1.0, _DEMO_SERVICES, workers=_OVERLOAD_WORKERS
        ),
        _make_profile("pirin-farm", 1.0, _DEMO_SERVICES, workers=6),
        _make_profile("vitosha-farm", 1.0, _DEMO_SERVICES, workers=6),
        _make_profile(
            "rodopi-farm", 1.0, _DEMO_SERVICES, workers=6, routers=(0,)
        ),
        _make_profile("strandzha-farm", 2.0, _DEMO_SERVICES, workers=10),
        _make_profile("balkan-farms", 4.0, _DEMO_SERVICES, workers=16),
        _make_profile(
            "family-desk",
            2.0,
            _DEMO_SERVICES,
            workers=2,
            pause=0.3,
            plain_share=0.7,
        ),
        _make_profile(
            "school-trips",
            1.0,
            _DEMO_SERVICES,
            workers=1,
            pause=0.5,
            plain_share=0.3,
        ),
    ),
    leaving="plovdiv",
)

_UNION_SERVICES = ("assistant", "desk")
UNION = Deployment(
    name="union",
    data_centres=("sofia", "plovdiv", "varna", "burgas"),
    routers=4,
    model_service="assistant",
    replicas=6,
    plain_service="desk",
    plain_replicas=4,
    engine=_make_engine(4),
    profiles=_make_profiles(
        tuple(f"farm-{number:02}" for number in range(1, 17)),
        _UNION_SERVICES,
    ),
    leaving="plovdiv",
)

_STUDIO_SERVICES = ("assistant", "ordering")
STUDIO = Deployment(
    name="studio",
    data_centres=("praha", "brno", "plzen"),
    routers=3,
    model_service="assistant",
    replicas=5,
    plain_service="ordering",
    plain_replicas=3,
    engine=_make_engine(4),
    profiles=_make_profiles(
        tuple(f"workshop-{number:02}" for number in range(1, 17)),
        _STUDIO_SERVICES,
    ),
    leaving="brno",
)

by_name = {deployment.name: deployment for deployment in (DEMO, UNION, STUDIO)}
