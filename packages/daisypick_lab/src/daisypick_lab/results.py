"""The result of a run as data, computed from samples and tallies."""

from collections.abc import Sequence
import importlib.metadata
import typing

import msgspec

from daisypick_lab import callers
from daisypick_lab import deployments
from daisypick_lab import sampler
from daisypick_lab import tally as tally_module

STEADY = "steady"
OUT = "out"
BACK = "back"


class OrganisationResult(msgspec.Struct, kw_only=True):
    """Result of one organisation; times in seconds.

    Attributes:
        due: Fraction of the backlogged organisations' service to which its
            share entitles it in the steady phase; ``None`` if it was not
            backlogged.
        received: Fraction of that service that it received.
    """

    name: str
    share: float
    sent: int
    whole: int
    refused: int
    broken: int
    wrong: int
    tokens: int
    due: float | None
    received: float | None
    first_token_p50: float
    first_token_p95: float
    token_gap_p95: float


class FairnessResult(msgspec.Struct, kw_only=True):
    """The fairness gap of the steady phase.

    Attributes:
        gap: Largest gap between two backlogged organisations over any
            interval, tokens per unit of share.
        largest_request: Cost of the largest request, tokens.
        backlogged: Names of the backlogged organisations, sorted.
    """

    gap: float
    largest_request: int
    backlogged: list[str]


class PhaseResult(msgspec.Struct, kw_only=True):
    """Result of one phase of a run; times in seconds."""

    name: str
    seconds: float
    utilisation: float
    tokens_per_second: float
    whole: int
    refused: int
    broken: int
    wrong: int
    first_token_p50: float
    first_token_p95: float


class LeavingResult(msgspec.Struct, kw_only=True):
    """Times of taking a data centre out of service and restoring it.

    Attributes:
        out_in_force: Seconds from publication of the removal until all
            processes have it.
        last_new_work: Seconds from that publication to the last call that
            began in the data centre, with a resolution of 0.1 s.
        back_in_force: Seconds from publication of the restore until all
            processes have it.
    """

    data_centre: str
    out_in_force: float
    last_new_work: float
    back_in_force: float


class ControlResult(msgspec.Struct, kw_only=True):
    """Control traffic, mean bytes per second and process."""

    bytes_per_second: float
    processes: int


class VerdictResult(msgspec.Struct, kw_only=True):
    """Violations found in a run; each list must be empty."""

    wrong: list[str]
    broken: list[str]
    ran_twice: list[str]
    untrue_refusals: list[str]
    unfinished: bool

    @property
    def is_clean(self) -> bool:
        """Whether there were no violations and all calls finished."""
        return not (
            self.wrong
            or self.broken
            or self.ran_twice
            or self.untrue_refusals
            or self.unfinished
        )


class Result(msgspec.Struct, kw_only=True):
    """Complete result of a run.

    Attributes:
        falls: Times that a backend server in its cold start received more
            requests than it can handle.
    """

    deployment: str
    seed: int
    version: str
    seconds: float
    falls: int
    organisations: list[OrganisationResult]
    fairness: FairnessResult
    phases: list[PhaseResult]
    leaving: LeavingResult
    control: ControlResult
    refusals_by_code: dict[str, int]
    verdict: VerdictResult


def version() -> str:
    """Return the version of this package."""
    try:
        return importlib.metadata.version("daisypick_lab")
    except importlib.metadata.PackageNotFoundError:
        return "0.1.0"


def fairness(
    deployment: deployments.Deployment, samples: Sequence[sampler.Sample]
) -> FairnessResult:
    """Return the fairness gap over samples."""
    names = sampler.backlogged(samples)
    shares = {p.name: p.share for p in deployment.profiles if p.name in names}
    services = [sample.tokens_by_organisation for sample in samples]
    return FairnessResult(
        gap=tally_module.largest_gap(services, shares),
        largest_request=max(map(_largest_request, deployment.profiles)),
        backlogged=sorted(names),
    )


def organisations(
    deployment: deployments.Deployment,
    tally: tally_module.Tally,
    samples: Sequence[sampler.Sample],
) -> list[OrganisationResult]:
    """Return the result of each organisation.

    Args:
        deployment: The deployment.
        tally: Measurements of the whole run.
        samples: Samples of the steady phase, for ``due`` and ``received``.
    """
    names = set(sampler.backlogged(samples))
    shares = {p.name: p.share for p in deployment.profiles if p.name in names}
    served = {name: _served(samples, name) for name in names}
    all_served = sum(served.values()) or 1.0
    found = []
    for profile in deployment.profiles:
        own = tally.of(profile.name)
        is_backlogged = profile.name in names
        due = profile.share / sum(shares.values()) if is_backlogged else None
        received = served[profile.name] / all_served if is_backlogged else None
        found.append(_organisation(profile, own, due, received))
    return found


def phase(
    name: str, tally: tally_module.Tally, samples: Sequence[sampler.Sample]
) -> PhaseResult:
    """Return the result of one phase."""
    measured = tally.by_phase.get(name, tally_module.PhaseTally())
    seconds = samples[-1].at - samples[0].at if samples else 0.0
    tokens = sum(
        _served(samples, organisation) for organisation in tally.by_organisation
    )
    return PhaseResult(
        name=name,
        seconds=seconds,
        utilisation=sampler.utilisation(samples),
        tokens_per_second=tokens / seconds if seconds else 0.0,
        **_outcomes(measured.outcomes),
        first_token_p50=measured.first_token.percentile(50),
        first_token_p95=measured.first_token.percentile(95),
    )


def last_new_work(
    samples: Sequence[sampler.Sample], accepted_at: float
) -> float:
    """Return the seconds from a publication to the last call that began."""
    last = 0.0
    for before, after in zip(samples, samples[1:], strict=False):
        if after.runs_in_leaving > before.runs_in_leaving:
            last = max(last, after.at - accepted_at)
    return last


def _organisation(
    profile: typing.Any,
    own: tally_module.OrganisationTally,
    due: float | None,
    received: float | None,
) -> OrganisationResult:
    return OrganisationResult(
        name=profile.name,
        share=profile.share,
        sent=own.sent,
        **_outcomes(own.outcomes),
        tokens=int(own.tokens),
        due=due,
        received=received,
        first_token_p50=own.first_token.percentile(50),
        first_token_p95=own.first_token.percentile(95),
        token_gap_p95=own.token_gap.percentile(95),
    )


def _outcomes(outcomes: typing.Mapping[str, int]) -> dict[str, int]:
    names = (callers.WHOLE, callers.REFUSED, callers.BROKEN, callers.WRONG)
    return {name: outcomes.get(name, 0) for name in names}


def _served(samples: Sequence[sampler.Sample], organisation: str) -> float:
    if not samples:
        return 0.0
    first = samples[0].tokens_by_organisation.get(organisation, 0.0)
    return samples[-1].tokens_by_organisation.get(organisation, 0.0) - first


def _largest_request(profile: typing.Any) -> int:
    return profile.longest + profile.prefix_characters // 4
