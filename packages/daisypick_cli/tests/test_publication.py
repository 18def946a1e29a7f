import itertools
import random

import pytest

from daisypick_cli import publication
from daisypick_core.configuration import model
from daisypick_core.configuration import sections
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value
from daisypick_node import configuration_store
from daisypick_node.platform import interface

LOST = codes.PLATFORM_ANSWER_LOST
DOWN = codes.PLATFORM_UNAVAILABLE


def fail(code):
    return failure_value.Failure(code=code, reason="memory platform")


class MemoryPlatform:
    """Versioned objects; ``root_faults`` apply to writes of the root."""

    def __init__(self):
        self.objects = {}
        self.root_faults = []
        self.is_down = False
        self.before_root = None
        self.writes = 0
        self._versions = itertools.count(1)

    def get(self, kind, name):
        if self.is_down:
            return fail(DOWN)
        return self.objects.get((kind, name)) or fail(codes.NOT_FOUND)

    def put(self, kind, name, value, *, if_version):
        fault = None
        if name == configuration_store.ROOT:
            if self.before_root:
                call, self.before_root = self.before_root, None
                call()
            fault = self.root_faults.pop(0) if self.root_faults else None
        if self.is_down or fault == DOWN:
            return fail(DOWN)
        held = self.objects.get((kind, name))
        if (held.version if held else None) != if_version:
            return fail(codes.PLATFORM_CONFLICT)
        self.writes += 1
        version = str(next(self._versions))
        stored = interface.StoredObject(kind, name, version, value)
        self.objects[kind, name] = stored
        return fail(LOST) if fault == LOST else stored

    def delete(self, kind, name, *, if_version):
        assert self.objects.pop((kind, name)).version == if_version

    def list_names(self, kind, prefix):
        return sorted(
            name
            for held, name in self.objects
            if held == kind and name.startswith(prefix)
        )


@pytest.fixture
def platform():
    return MemoryPlatform()


def make_publisher(platform, seed=1):
    now = [0.0]

    def sleep(seconds):
        now[0] += seconds

    return publication.Publisher(
        client=platform,
        clock=lambda: now[0],
        sleep=sleep,
        rng=random.Random(seed),
    )


def make_configuration(**share_by_name):
    organisations = {
        name: model.Organisation(name, share)
        for name, share in share_by_name.items()
    }
    return sections.make_configuration(0, {"organisations": organisations})


def publish(platform, configuration, seed=1, **options):
    publisher = make_publisher(platform, seed)
    return publisher.publish(configuration, publisher.read(), **options)


def stored(platform):
    held = make_publisher(platform).read()
    assert not failure_value.is_failure(held)
    return held


def test_publish_raises_the_generation_and_writes_only_changes(platform):
    first = publish(platform, make_configuration(a=1.0))
    assert (first.root.generation, first.is_new) == (1, True)
    again = publish(platform, make_configuration(a=1.0), 2)
    assert (again.root, again.is_new) == (first.root, False)
    before = platform.writes
    second = publish(platform, make_configuration(a=2.0), 3)
    assert second.root.generation == 2
    assert platform.writes - before == 2
    wanted = make_configuration(a=2.0)._replace(generation=2)
    assert stored(platform).configuration == wanted


@pytest.mark.parametrize("faults", [[LOST], [LOST, LOST], [DOWN, LOST, DOWN]])
def test_lost_response_to_an_accepted_write_is_no_conflict(platform, faults):
    # The write of the root takes effect, but its response is lost. The retry
    # fails the condition because of the publisher's own write; the change id
    # in the root shows this. Without it a conflict would be reported although
    # the change is in force.
    platform.root_faults = list(faults)
    outcome = publish(platform, make_configuration(a=1.0))
    assert (outcome.root.generation, outcome.is_new) == (1, True)
    assert stored(platform).root == outcome.root


def test_lost_response_is_resolved_after_a_later_generation(platform):
    # The response to the write of the root is lost, and before the read-back
    # another operator has applied the next generation. The root's list of
    # recent changes still holds the change id.
    platform.root_faults = [LOST]
    publisher = make_publisher(platform)
    retry = publisher._sleep

    def sleep(seconds):
        retry(seconds)
        if stored(platform).configuration.generation == 1:
            publish(platform, make_configuration(a=1.0, b=1.0), 9)

    publisher._sleep = sleep
    outcome = publisher.publish(make_configuration(a=1.0), publisher.read())
    assert isinstance(outcome, publication.Published)
    assert stored(platform).configuration.generation == 2


def test_of_two_concurrent_operators_one_gets_a_conflict(platform):
    # Both read generation 1. The other operator's write takes effect between
    # this one's read and its write of the root, which must not silently
    # revert it.
    publish(platform, make_configuration(a=1.0))
    platform.before_root = lambda: publish(
        platform, make_configuration(a=4.0), 2
    )
    outcome = publish(platform, make_configuration(a=1.0, mine=1.0), 3)
    assert outcome.failure.code == codes.CONFIGURATION_CONFLICT
    assert outcome.generation == 2
    (change,) = outcome.changes
    assert str(change) == "organisations.a.share: 1.0 -> 4.0"
    held = stored(platform)
    assert held.configuration.organisations_by_name["a"].share == 4.0
    packs = platform.list_names("configuration", "pack-")
    assert packs == list(held.root.packs)


def test_short_outage_is_retried_and_a_long_one_is_reported(platform):
    platform.root_faults = [DOWN] * 3
    assert publish(platform, make_configuration(a=1.0)).is_new
    platform.root_faults = [DOWN] * 1000
    outcome = publish(platform, make_configuration(a=2.0), 2)
    assert outcome.code == codes.PLATFORM_UNAVAILABLE
    platform.root_faults = [LOST] + [DOWN] * 1000
    outcome = publish(platform, make_configuration(a=2.0), 3)
    assert outcome.code == codes.PLATFORM_ANSWER_LOST
    platform.root_faults = []
    assert not publish(platform, make_configuration(a=2.0), 4).is_new


def test_packs_are_compacted_and_none_in_use_is_deleted(platform):
    # A concurrent writer has written its pack when another one, whose root is
    # in force, deletes stale packs: the pack of a later generation must stay.
    late = configuration_store.pack_name(999, "x", 0)
    platform.put("configuration", late, b"{}", if_version=None)
    for step in range(publication.MAX_PACKS + 6):
        wanted = make_configuration(a=1.0 + step, b=1.0)
        assert publish(platform, wanted, step).is_new
        held = stored(platform)
        assert held.configuration.organisations_by_name["a"].share == 1 + step
        packs = platform.list_names("configuration", "pack-")
        assert packs == [*held.root.packs, late]
    assert len(held.root.packs) < 10


def test_reverted_change_is_published_with_its_chunks(platform):
    # The store holds the former chunks in an older pack, but a notified
    # process may lack them, so it gets all chunks that differ.
    first = publish(platform, make_configuration(a=1.0))
    publish(platform, make_configuration(a=2.0), 2)
    back = publish(platform, make_configuration(a=1.0), 3)
    assert back.chunk_by_hash == first.chunk_by_hash


def test_large_configuration_fits_the_size_limit_of_objects(platform):
    names = {f"organisation-{n:05}": 1.0 + n for n in range(25_000)}
    assert publish(platform, make_configuration(**names)).is_new
    sizes = [len(item.value) for item in platform.objects.values()]
    assert max(sizes) <= 1 << 20
    assert len(sizes) > 2


def test_generation_exceeds_the_fleets_after_a_restore_from_backup(platform):
    publish(platform, make_configuration(a=1.0))
    outcome = publish(
        platform, make_configuration(a=1.0), 2, known_generation=50
    )
    assert (outcome.root.generation, outcome.is_new) == (51, True)
