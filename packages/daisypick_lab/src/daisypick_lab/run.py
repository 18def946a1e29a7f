"""A run of an embedded fleet under load while a data centre is removed."""

import collections
from collections.abc import Callable
import time
import typing

import gevent

from daisypick_lab import deployments
from daisypick_lab import embedded
from daisypick_lab import load
from daisypick_lab import results
from daisypick_lab import sampler as sampler_module

_FINISH_SECONDS = 45.0
_RAMP = "ramp"


class Plan(typing.NamedTuple):
    """Durations of the phases, seconds.

    Attributes:
        ramp: Cold start under load, before measurements begin.
        steady: Phase in which fairness and utilisation are measured.
        out: One data centre is out of service.
        back: All data centres are in service again.
    """

    ramp: float = 4.0
    steady: float = 14.0
    out: float = 8.0
    back: float = 8.0


QUICK = Plan(ramp=1.5, steady=3.0, out=2.5, back=2.5)
ReportProgress = Callable[[str], None]


class _PhaseTimes(typing.NamedTuple):
    """Start and end of a phase, monotonic seconds."""

    start: float
    end: float


class Run:
    """Runs a fleet under load and measures both."""

    def __init__(
        self,
        *,
        deployment: deployments.Deployment,
        plan: Plan,
        seed: int,
        report_progress: ReportProgress,
    ) -> None:
        self._deployment = deployment
        self._plan = plan
        self._seed = seed
        self._report_progress = report_progress
        self._fleet = embedded.EmbeddedFleet(deployment=deployment, seed=seed)
        self._times_by_phase: dict[str, _PhaseTimes] = {}

    def run(self) -> results.Result:
        """Run all phases and return the result."""
        started_at = time.monotonic()
        try:
            self._fleet.start()
            return self._run_phases(started_at)
        finally:
            self._fleet.stop()

    def _run_phases(self, started_at: float) -> results.Result:
        generator = load.LoadGenerator(
            profiles=self._deployment.profiles,
            routers=self._fleet.router_addresses,
            seed=self._seed,
        )
        sampler = sampler_module.Sampler(
            fleet=self._fleet, tally=generator.tally
        )
        sampler.start()
        generator.start()
        self._phase(generator, _RAMP, self._plan.ramp)
        self._phase(generator, results.STEADY, self._plan.steady)
        leaving = self._leave_and_return(generator, sampler)
        self._report_progress(
            "Stopping the load; waiting for open calls to finish."
        )
        is_done = generator.stop(_FINISH_SECONDS)
        sampler.stop()
        return self._result(generator, sampler, leaving, is_done, started_at)

    def _phase(
        self, generator: load.LoadGenerator, name: str, seconds: float
    ) -> None:
        self._report_progress(f"Phase {name}, {seconds:.0f} s.")
        generator.tally.phase = name
        start = time.monotonic()
        gevent.sleep(seconds)
        self._times_by_phase[name] = _PhaseTimes(start, time.monotonic())

    def _leave_and_return(
        self,
        generator: load.LoadGenerator,
        sampler: sampler_module.Sampler,
    ) -> results.LeavingResult:
        name = self._deployment.leaving
        self._report_progress(f"Taking data centre {name} out of service.")
        seconds_out = self._fleet.set_data_centre(name, is_in=False)
        accepted_at = time.monotonic() - seconds_out
        self._phase(generator, results.OUT, self._plan.out)
        samples = sampler.between(accepted_at, time.monotonic())
        self._report_progress(
            f"Restoring data centre {name} with cold engines."
        )
        self._fleet.restart_engines(name)
        seconds_in = self._fleet.set_data_centre(name, is_in=True)
        self._phase(generator, results.BACK, self._plan.back)
        return results.LeavingResult(
            data_centre=name,
            out_in_force=seconds_out,
            last_new_work=results.last_new_work(samples, accepted_at),
            back_in_force=seconds_in,
        )

    def _result(
        self,
        generator: load.LoadGenerator,
        sampler: sampler_module.Sampler,
        leaving: results.LeavingResult,
        is_done: bool,
        started_at: float,
    ) -> results.Result:
        tally = generator.tally
        steady = sampler.between(*self._times_by_phase[results.STEADY])
        phases = [
            results.phase(
                name, tally, sampler.between(*self._times_by_phase[name])
            )
            for name in (results.STEADY, results.OUT, results.BACK)
        ]
        refusals: collections.Counter[str] = collections.Counter()
        for own in tally.by_organisation.values():
            for code, count in own.refusals_by_code.items():
                refusals[str(code)] += count
        verdict = tally.verdict(self._fleet.runs_by_marker())
        return results.Result(
            deployment=self._deployment.name,
            seed=self._seed,
            version=results.version(),
            seconds=time.monotonic() - started_at,
            falls=self._fleet.overload_count(),
            organisations=results.organisations(
                self._deployment, tally, steady
            ),
            fairness=results.fairness(self._deployment, steady),
            phases=phases,
            leaving=leaving,
            control=self._control(steady),
            refusals_by_code=dict(refusals),
            verdict=results.VerdictResult(
                wrong=list(verdict.wrong),
                broken=list(verdict.broken),
                ran_twice=list(verdict.ran_twice),
                untrue_refusals=list(verdict.untrue_refusals),
                unfinished=not is_done,
            ),
        )

    def _control(
        self, samples: list[sampler_module.Sample]
    ) -> results.ControlResult:
        count = len(self._fleet.processes)
        seconds = samples[-1].at - samples[0].at
        size = samples[-1].control_bytes - samples[0].control_bytes
        return results.ControlResult(
            bytes_per_second=size / seconds / count, processes=count
        )
