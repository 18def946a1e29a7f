"""Samples of a running fleet: service, backlog and busy slots over time."""

import time
import typing

import gevent

from daisypick_lab import embedded
from daisypick_lab import tally as tally_module

SAMPLE_SECONDS = 0.1
_BACKLOGGED = 0.95


class Sample(typing.NamedTuple):
    """The fleet at one moment.

    Attributes:
        at: Seconds, monotonic.
        tokens_by_organisation: Tokens served so far.
        waiting_by_organisation: Calls that have shown no byte.
        busy: Slots spoken for at engines whose data centre is in.
        slots: Slots of those engines.
        runs_in_leaving: Calls begun in the data centre that leaves.
        control_bytes: Bytes of control so far.
    """

    at: float
    tokens_by_organisation: dict[str, float]
    waiting_by_organisation: dict[str, int]
    busy: int
    slots: int
    runs_in_leaving: int
    control_bytes: int


class Sampler:
    """Takes samples until it is stopped."""

    def __init__(
        self, *, fleet: embedded.EmbeddedFleet, tally: tally_module.Tally
    ) -> None:
        self.samples: list[Sample] = []
        self._fleet = fleet
        self._tally = tally
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to sample."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Take no more samples."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def between(self, start: float, end: float) -> list[Sample]:
        """Return the samples of a span."""
        return [s for s in self.samples if start <= s.at <= end]

    def _run(self) -> None:
        while True:
            self.samples.append(self._take())
            gevent.sleep(SAMPLE_SECONDS)

    def _take(self) -> Sample:
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
            runs_in_leaving=fleet.runs_in(fleet.shape.leaving),
            control_bytes=fleet.control_bytes(),
        )


def backlogged(samples: list[Sample]) -> list[str]:
    """Return the organisations that had work waiting all along.

    A closed loop has a moment without waiting work now and then; those that
    had some in 95 samples of 100 count.
    """
    if not samples:
        return []
    return [
        name
        for name in samples[0].waiting_by_organisation
        if _waiting_part(samples, name) >= _BACKLOGGED
    ]


def utilisation(samples: list[Sample]) -> float:
    """Return the part of the slots that was in use."""
    slots = sum(sample.slots for sample in samples)
    return sum(sample.busy for sample in samples) / slots if slots else 0.0


def _waiting_part(samples: list[Sample], name: str) -> float:
    waiting = [s for s in samples if s.waiting_by_organisation.get(name, 0)]
    return len(waiting) / len(samples)
