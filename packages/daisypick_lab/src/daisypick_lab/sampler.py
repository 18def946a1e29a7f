"""Samples of service, backlog and busy slots of a running fleet."""

import time
import typing

import gevent

from daisypick_lab import embedded
from daisypick_lab import tally as tally_module

SAMPLE_SECONDS = 0.1
_MIN_BACKLOGGED_RATIO = 0.95


class Sample(typing.NamedTuple):
    """State of the fleet at one point in time.

    Attributes:
        at: Time of the sample, monotonic seconds.
        tokens_by_organisation: Tokens served so far by organisation.
        waiting_by_organisation: Calls that have received no byte of the
            response.
        busy: Occupied slots of engines whose data centre is in service.
        slots: Slots of those engines.
        runs_in_leaving: Calls begun so far in the data centre that the run
            takes out of service.
        control_bytes: Bytes of control traffic so far.
    """

    at: float
    tokens_by_organisation: dict[str, float]
    waiting_by_organisation: dict[str, int]
    busy: int
    slots: int
    runs_in_leaving: int
    control_bytes: int


class Sampler:
    """Samples a fleet periodically until it is stopped."""

    def __init__(
        self, *, fleet: embedded.EmbeddedFleet, tally: tally_module.Tally
    ) -> None:
        self.samples: list[Sample] = []
        self._fleet = fleet
        self._tally = tally
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start sampling."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop sampling."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def between(self, start: float, end: float) -> list[Sample]:
        """Return the samples of a time interval."""
        return [s for s in self.samples if start <= s.at <= end]

    def _run(self) -> None:
        while True:
            self.samples.append(self._take_sample())
            gevent.sleep(SAMPLE_SECONDS)

    def _take_sample(self) -> Sample:
        fleet = self._fleet
        loads = [
            engine.batch.load()
            for name, engine in fleet.engines.items()
            if fleet.data_centre_by_server[name] not in fleet.out
        ]
        by_organisation = self._tally.by_organisation
        return Sample(
            at=time.monotonic(),
            tokens_by_organisation={
                name: own.tokens for name, own in by_organisation.items()
            },
            waiting_by_organisation={
                name: own.waiting_count for name, own in by_organisation.items()
            },
            busy=sum(min(load.slots, load.open) for load in loads),
            slots=sum(load.slots for load in loads),
            runs_in_leaving=fleet.runs_in(fleet.deployment.leaving),
            control_bytes=fleet.control_bytes(),
        )


def backlogged(samples: list[Sample]) -> list[str]:
    """Return the organisations that had a backlog throughout.

    A closed-loop caller has no waiting call for brief moments between calls,
    so an organisation counts if calls were waiting in 95% of the samples.
    """
    if not samples:
        return []
    return [
        name
        for name in samples[0].waiting_by_organisation
        if _waiting_ratio(samples, name) >= _MIN_BACKLOGGED_RATIO
    ]


def utilisation(samples: list[Sample]) -> float:
    """Return the fraction of slots that was in use."""
    slots = sum(sample.slots for sample in samples)
    return sum(sample.busy for sample in samples) / slots if slots else 0.0


def _waiting_ratio(samples: list[Sample], name: str) -> float:
    waiting = [s for s in samples if s.waiting_by_organisation.get(name, 0)]
    return len(waiting) / len(samples)
