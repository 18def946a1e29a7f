import hypothesis
from hypothesis import strategies

from daisypick_core.configuration import chunks
from daisypick_core.configuration import model
from daisypick_core.configuration import sections
from daisypick_core.results import codes

MANY_ORGANISATIONS = 22_000


def make_configuration(count, share=1.0):
    organisations = {
        f"org-{n:05}": model.Organisation(
            name=f"org-{n:05}", share=share, key_hashes=(f"{n:064x}",)
        )
        for n in range(count)
    }
    servers = {
        "s": model.BackendServer("s", "desk", "sofia", "1.1.1.1:1", "1.1.1.1:2")
    }
    call = model.Call("POST", "/bookings")
    return sections.make_configuration(
        1,
        {
            "organisations": organisations,
            "backend_servers": servers,
            "services": {"desk": model.Service("desk", not_repeatable=(call,))},
            "data_centres": {"sofia": model.DataCentre("sofia", is_in=False)},
        },
    )


def change(configuration, name, share):
    organisations = dict(configuration.organisations_by_name)
    organisations[name] = organisations[name]._replace(share=share)
    return configuration._replace(organisations_by_name=organisations)


@hypothesis.settings(derandomize=True, max_examples=30, deadline=None)
@hypothesis.given(strategies.integers(0, 300), strategies.integers(1, 8))
def test_join_is_the_inverse_of_split(count, leaf_limit):
    configuration = make_configuration(count)
    tree = chunks.split(configuration, fanout=4, leaf_limit=leaf_limit)
    assert chunks.join(1, tree.top, tree.chunk_by_hash) == configuration
    assert chunks.missing_chunks(tree.top, tree.chunk_by_hash) == []
    assert (
        chunks.changed_chunks(tree.top, tree.top, tree.chunk_by_hash) == set()
    )


def test_change_among_many_organisations_transfers_a_few_kilobytes():
    before = make_configuration(MANY_ORGANISATIONS)
    old = chunks.split(before)
    new = chunks.split(change(before, "org-12345", 2.0))
    held = old.chunk_by_hash | new.chunk_by_hash
    changed = chunks.changed_chunks(old.top, new.top, held)
    assert changed == set(new.chunk_by_hash) - set(old.chunk_by_hash)
    assert len(changed) == 4
    changed_bytes = sum(len(new.chunk_by_hash[chunk]) for chunk in changed)
    total_bytes = sum(len(chunk) for chunk in new.chunk_by_hash.values())
    assert changed_bytes < 2_000 < total_bytes / 1_000


def test_missing_chunks_lead_from_one_tree_to_the_next():
    before = make_configuration(1_000)
    held = dict(chunks.split(before).chunk_by_hash)
    new = chunks.split(change(before, "org-00500", 2.0))
    fetched = []
    while missing := chunks.missing_chunks(new.top, held):
        fetched += missing
        held |= {chunk: new.chunk_by_hash[chunk] for chunk in missing}
    assert fetched[0] == new.top
    assert len(fetched) == 3


def test_corrupt_trees_are_failures():
    tree = chunks.split(make_configuration(100))
    partial = dict(tree.chunk_by_hash)
    partial.popitem()
    partial.pop(chunks.children(tree.chunk_by_hash[tree.top])[0], None)
    for top, held in (
        (tree.top, partial),
        ("x", {"x": b"[1"}),
        ("x", {"x": b'{"backend_servers/s": {"slots": 1}}'}),
        ("x", {"x": b'{"organisations/o": {"share": "big"}}'}),
    ):
        failure = chunks.join(1, top, held)
        assert failure.code == codes.BAD_CHUNK


def test_keys_and_sections_of_a_later_release_are_ignored():
    chunk = b'{"organisations/o": {"share": 2.0, "new": 1}, "new/n": {}}'
    joined = chunks.join(1, "x", {"x": chunk})
    assert joined.organisations_by_name == {"o": model.Organisation("o", 2.0)}
