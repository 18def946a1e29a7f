import hypothesis
from hypothesis import strategies

from daisypick_core.configuration import model
from daisypick_node.router import organisation_index

# The organisation of each key hash in successive configurations.
OWNERS = strategies.lists(
    strategies.dictionaries(
        strategies.sampled_from("abcdef"), strategies.sampled_from("uvwx")
    ),
    max_size=8,
)


def make_organisations(owner_by_hash, max_queued):
    return {
        name: model.Organisation(
            name,
            max_queued=max_queued,
            key_hashes=tuple(
                key for key, owner in owner_by_hash.items() if owner == name
            ),
        )
        for name in set(owner_by_hash.values())
    }


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(OWNERS)
def test_index_matches_the_latest_configuration(steps):
    # Keys move between organisations, are rotated and are removed with their
    # organisation. A revoked key left in the index would still be accepted.
    index = organisation_index.OrganisationIndex()
    for step, owner_by_hash in enumerate(steps):
        organisations = make_organisations(owner_by_hash, step)
        index.update(organisations)
        assert index.name_by_hash == owner_by_hash
        assert index.max_queued_by_name == dict.fromkeys(organisations, step)
