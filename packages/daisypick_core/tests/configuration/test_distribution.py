import itertools
import random

import hypothesis
from hypothesis import strategies

from daisypick_core.configuration import chunks
from daisypick_core.configuration import distribution
from daisypick_core.configuration import distribution_actions as actions
from daisypick_core.configuration import model
from daisypick_core.configuration import root as root_object
from daisypick_core.configuration import rounds
from daisypick_core.configuration import sections
from daisypick_core.configuration import wire
from daisypick_core.results import codes
from daisypick_core.results import failure as failure_value

DOWN = failure_value.Failure(code=codes.PEER_UNREACHABLE, reason="down")
PEERS = ("p1", "p2", "p3")


def make_configuration(generation, count=200):
    organisations = {
        f"org-{n}": model.Organisation(f"org-{n}", share=float(n + 1))
        for n in range(count)
    }
    organisations["org-0"] = model.Organisation("org-0", float(generation))
    return sections.make_configuration(
        generation, {"organisations": organisations}
    )


class Source:
    """A store or peer with a given generation."""

    def __init__(self, generation):
        self.configuration = make_configuration(generation)
        tree = chunks.split(self.configuration)
        self.chunk_by_hash = tree.chunk_by_hash
        base = chunks.split(make_configuration(1)).chunk_by_hash
        news = tree.chunk_by_hash.keys() - base.keys()
        self.packs = {
            "base": base,
            "news": {key: tree.chunk_by_hash[key] for key in news},
        }
        self.root = root_object.make_root(
            generation=generation,
            change_id=f"c{generation}",
            top=tree.top,
            packs=("base", "news"),
        )


def make_holder(**limits):
    holder = distribution.ConfigurationHolder(
        rng=random.Random(7), limits=rounds.DistributionLimits(**limits)
    )
    holder.set_peers(PEERS, PEERS[:1])
    return holder


def run(holder, due, source_by_name, now=0.0, seen=None):
    """Carry out actions until none is left; return all of them."""
    seen = [] if seen is None else seen
    pending = list(due)
    while pending:
        action = pending.pop(0)
        seen.append(action)
        if isinstance(action, actions.FetchRoot):
            source = source_by_name.get(action.source)
            response = DOWN
            if source:
                response = wire.RootResponse(root=source.root, chunk_by_hash={})
            pending += holder.receive_root(action.source, response, now)
        elif isinstance(action, actions.FetchChunks):
            source = source_by_name[action.source]
            given = {key: source.chunk_by_hash[key] for key in action.hashes}
            pending += holder.receive_chunks(action.source, given, now)
        elif isinstance(action, actions.FetchPack):
            pack = source_by_name[actions.STORE].packs[action.name]
            pending += holder.receive_chunks(actions.STORE, pack, now)
    return seen


def start_holder(generation, **limits):
    holder = make_holder(**limits)
    sources = dict.fromkeys((actions.STORE, *PEERS), Source(generation))
    run(holder, holder.start(0.0), sources)
    assert holder.generation == generation
    return holder


def test_restart_adopts_the_highest_generation_before_it_is_ready():
    # A node restarts without state. The store and one peer are behind, one
    # peer is down and one has the newest generation. If the node became ready
    # on the first response, callers would see an older configuration.
    holder = make_holder()
    asked = holder.start(0.0)
    assert {action.source for action in asked} == {actions.STORE, *PEERS}
    sources = {
        actions.STORE: Source(3),
        "p1": Source(2),
        "p3": Source(5),
    }
    first = wire.RootResponse(
        root=sources[actions.STORE].root, chunk_by_hash={}
    )
    assert holder.receive_root(actions.STORE, first, 0.0) == []
    assert not holder.is_ready
    rest = [action for action in asked if action.source != actions.STORE]
    seen = run(holder, rest, sources)
    installed = [a for a in seen if isinstance(a, actions.Activate)]
    assert [a.configuration for a in installed] == [make_configuration(5)]
    assert holder.is_ready


def test_restart_while_the_store_is_down_uses_a_peer():
    holder = make_holder()
    run(holder, holder.start(0.0), {"p2": Source(4)})
    assert (holder.generation, holder.is_ready) == (4, True)


def test_restart_while_peers_are_down_uses_the_store():
    # The objects in the store are read newest first; a leaf may be in an
    # older object than the node that references it.
    holder = make_holder()
    seen = run(holder, holder.start(0.0), {actions.STORE: Source(4)})
    packs = [a.name for a in seen if isinstance(a, actions.FetchPack)]
    assert packs == ["news", "base"]
    assert holder.configuration == make_configuration(4)
    assert holder.is_ready


def test_restart_without_any_source_is_not_ready_and_retries():
    holder = make_holder()
    run(holder, holder.start(0.0), {})
    assert (holder.generation, holder.is_ready) == (0, False)
    again = holder.tick(30.0)
    assert actions.STORE in {
        a.source for a in again if isinstance(a, actions.FetchRoot)
    }
    run(holder, again, {"p1": Source(1)}, now=30.0)
    assert holder.is_ready


def test_restart_does_not_wait_for_unresponsive_sources():
    # The requests to p1 and p2 get neither a response nor a failure. After
    # the timeout the best response received until then is used.
    holder = make_holder()
    holder.start(0.0)
    source = Source(2)
    response = wire.RootResponse(root=source.root, chunk_by_hash={})
    assert holder.receive_root("p3", response, 0.0) == []
    seen = run(holder, holder.tick(3.0), {"p3": source}, now=3.0)
    assert any(isinstance(a, actions.Activate) for a in seen)
    assert holder.is_ready


def test_lower_generation_is_never_put_in_force():
    # A partitioned node rejoins with an old generation; its contacts, its root
    # and its late chunks reach a node that is ahead.
    holder = start_holder(5)
    stale = Source(3)
    before = holder.configuration
    assert holder.record_contact("p1", 3, 1.0) == []
    for root in (stale.root, Source(5).root):
        response = wire.RootResponse(
            root=root, chunk_by_hash=stale.chunk_by_hash
        )
        assert holder.receive_root("p1", response, 1.0) == []
    assert holder.receive_chunks("p1", stale.chunk_by_hash, 1.0) == []
    assert holder.configuration is before


def test_peer_a_few_changes_behind_gets_all_in_one_response():
    ahead = start_holder(2)
    behind = start_holder(2)
    for generation in (3, 4):
        run(
            ahead,
            ahead.record_contact("p1", generation, 1.0),
            {"p1": Source(generation)},
        )
    (request,) = behind.record_contact("p2", 4, 2.0)
    response = ahead.make_root_response(request.have)
    data = wire.encode_response(response)
    due = behind.receive_root("p2", wire.decode_response(data), 2.0)
    assert isinstance(due[0], actions.Activate)
    assert due[0].changed_by_section == {"organisations": {"org-0"}}
    assert behind.configuration == make_configuration(4)
    assert len(data) < 4_000
    assert len(ahead.make_root_response("unknown").chunk_by_hash) == 1


def test_corrupt_and_partial_chunks_do_no_harm():
    # p1 is ahead but responds with corrupt chunks, p2 with half of them and
    # then none. The node keeps the valid chunks, stays on its generation and
    # completes the fetch from p3.
    holder = start_holder(1, batch=8)
    new = Source(6)
    response = wire.RootResponse(root=new.root, chunk_by_hash={})
    (request,) = holder.record_contact("p1", 6, 1.0)
    (chunk_request,) = holder.receive_root("p1", response, 1.0)
    bad = dict.fromkeys(chunk_request.hashes, b"{}")
    assert holder.receive_chunks("p1", bad, 1.0) == []
    assert holder.generation == 1
    (request,) = holder.record_contact("p2", 6, 1.0)
    (chunk_request,) = holder.receive_root("p2", response, 1.0)
    given = {key: new.chunk_by_hash[key] for key in chunk_request.hashes}
    (chunk_request,) = holder.receive_chunks("p2", given, 1.0)
    assert holder.receive_chunks("p2", {}, 1.0) == []
    assert holder.generation == 1
    seen = run(
        holder, holder.record_contact("p3", 6, 1.0), {"p3": new}, now=1.0
    )
    asked = [a.hashes for a in seen if isinstance(a, actions.FetchChunks)]
    assert not set(given) & set(itertools.chain(*asked))
    assert holder.configuration == make_configuration(6)


def test_intact_chunks_of_an_invalid_tree_are_rejected():
    holder = start_holder(1)
    chunk = b'{"organisations/o":{"share":"big"}}'
    top = chunks.hash_chunk(chunk)
    root = root_object.make_root(generation=9, change_id="x", top=top)
    response = wire.RootResponse(root=root, chunk_by_hash={top: chunk})
    (rejection,) = holder.receive_root("p1", response, 1.0)
    assert rejection.failure.code == codes.BAD_CHUNK
    assert holder.receive_root("p2", response, 1.0) == []
    assert holder.record_contact("p3", 10, 1.5) == []
    run(holder, holder.tick(2.0), {"p3": Source(10)}, now=2.0)
    assert holder.generation == 10


def test_peer_that_reports_a_generation_it_lacks_is_suspended():
    holder = start_holder(2)
    (request,) = holder.record_contact("p1", 1_000_000, 1.0)
    response = wire.RootResponse(root=Source(2).root, chunk_by_hash={})
    assert holder.receive_root(request.source, response, 1.0) == []
    assert holder.record_contact("p1", 1_000_000, 1.1) == []
    assert len(holder.record_contact("p2", 3, 1.2)) == 1


def test_sender_of_an_incomplete_push_is_not_asked_for_more():
    # An operator's command line pushes a change, with the latest chunks only,
    # to a node that is several generations behind, and exits. It accepts no
    # requests; the node continues with the next peer that contacts it.
    holder = start_holder(1)
    new = Source(6)
    response = wire.RootResponse(root=new.root, chunk_by_hash={})
    (request,) = holder.receive_root(actions.OPERATOR, response, 1.0)
    due = holder.receive_chunks(request.source, DOWN, 1.0)
    for now in (2.0, 10.0, 20.0):
        due += holder.tick(now)
    asked = [a.source for a in due if isinstance(a, actions.FetchRoot)]
    assert actions.OPERATOR not in asked
    run(holder, holder.record_contact("p1", 6, 20.0), {"p1": new}, now=20.0)
    assert holder.generation == 6


def test_push_completes_a_fetch_in_progress():
    # A watcher is reading a change from a slow store when the operator's
    # command line pushes the same change with its chunks.
    holder = start_holder(1)
    new = Source(6)
    response = wire.RootResponse(root=new.root, chunk_by_hash={})
    assert len(holder.receive_root(actions.STORE, response, 1.0)) == 1
    assert holder.receive_root("p1", response, 1.0) == []
    offer = response._replace(chunk_by_hash=new.chunk_by_hash)
    due = holder.receive_root(actions.OPERATOR, offer, 1.0)
    assert isinstance(due[0], actions.Activate)
    assert holder.receive_chunks(actions.STORE, new.packs["news"], 2.0) == []
    assert holder.generation == 6


def test_reverted_change_transfers_no_chunk():
    # A data centre is taken out of service and put back: the tree equals the
    # former one, whose chunks the node has kept.
    holder = start_holder(1)
    run(holder, holder.record_contact("p1", 2, 1.0), {"p1": Source(2)}, now=1.0)
    back = root_object.make_root(
        generation=3, change_id="c3", top=Source(1).root.top
    )
    response = wire.RootResponse(root=back, chunk_by_hash={})
    due = holder.receive_root("p1", response, 2.0)
    assert due[0].configuration == make_configuration(1)._replace(generation=3)


def test_source_that_times_out_is_replaced():
    holder = start_holder(2)
    (request,) = holder.record_contact("p1", 3, 1.0)
    assert (request.source, holder.record_contact("p2", 3, 1.0)) == ("p1", [])
    seen = run(holder, holder.tick(4.0), {"p2": Source(3)}, now=4.0)
    assert holder.generation == 3
    assert any(isinstance(a, actions.Notify) for a in seen)


def test_changes_are_announced_in_rate_limited_rounds():
    holder = start_holder(2)
    notices = []
    for step in range(40):
        now = 2.0 + step / 10
        generation = 3 + step
        due = holder.record_contact("p1", generation, now)
        due += holder.tick(now)
        seen = run(holder, due, {"p1": Source(generation)}, now=now)
        notices += [a for a in seen if isinstance(a, actions.Notify)]
    assert holder.generation == 42
    assert len(notices) <= 4 * rounds.DEFAULT_LIMITS.notice_fanout


def test_isolated_node_queries_the_store():
    holder = start_holder(2)
    due = holder.tick(60.0)
    asked = [a.source for a in due if isinstance(a, actions.FetchRoot)]
    assert actions.STORE in asked
    run(holder, due, {actions.STORE: Source(3)}, now=60.0)
    assert holder.generation == 3


def test_store_restored_from_an_old_backup_is_detected():
    holder = start_holder(5)
    response = wire.RootResponse(root=Source(3).root, chunk_by_hash={})
    assert holder.receive_root(actions.STORE, response, 1.0) == []
    assert holder.describe()["is_store_behind"]
    assert holder.generation == 5


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ("hear", "root", "whole", "chunks", "fail", "tick")
        ),
        strategies.sampled_from((actions.STORE, *PEERS)),
        strategies.integers(1, 6),
    ),
    max_size=40,
)
SOURCES = {generation: Source(generation) for generation in range(1, 7)}


def deliver(holder, event, name, source, now):
    """Deliver an unsolicited event; return the resulting actions."""
    if event == "hear":
        return holder.record_contact(name, source.root.generation, now)
    if event == "chunks":
        return holder.receive_chunks(name, source.chunk_by_hash, now)
    if event == "fail":
        return holder.receive_root(name, DOWN, now)
    if event == "tick":
        return holder.tick(now)
    chunk_by_hash = source.chunk_by_hash if event == "whole" else {}
    response = wire.RootResponse(root=source.root, chunk_by_hash=chunk_by_hash)
    return holder.receive_root(name, response, now)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(EVENTS, strategies.integers(0, 6))
def test_generation_never_decreases_for_any_order_of_events(events, start):
    # Responses arrive late, duplicated, out of order or from stale sources at
    # a node that starts empty or with any generation.
    holder = start_holder(start) if start else make_holder()
    if not start:
        holder.start(0.0)
    for step, (event, name, generation) in enumerate(events):
        before = holder.generation
        due = deliver(holder, event, name, SOURCES[generation], step / 2)
        for action in due:
            if isinstance(action, actions.Activate):
                assert action.configuration.generation > before
        assert holder.generation >= before
        if holder.generation:
            held = holder.configuration
            assert held == SOURCES[holder.generation].configuration
