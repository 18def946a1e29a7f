"""Organisations by the hash of their keys, kept up to date by differences.

A change of one organisation among 22,000 leaves all other entries the very
same objects; only entries that are other objects are looked at. To build the
index anew at each of 12,000 changes a day would hold up every stream of the
router, which has one loop.

Examples:
    >>> index = OrganisationIndex()
    >>> index.take({"union": model.Organisation("union", key_hashes=("a",))})
    >>> index.name_by_hash, index.max_queued_by_name
    ({'a': 'union'}, {'union': 512})
"""

from collections.abc import Mapping

from daisypick_core.configuration import model


class OrganisationIndex:
    """What a router looks up for each request.

    Attributes:
        name_by_hash: Name of the organisation by SHA-256 of a key.
        max_queued_by_name: Bound on waiting requests by organisation.
    """

    def __init__(self) -> None:
        self.name_by_hash: dict[str, str] = {}
        self.max_queued_by_name: dict[str, int] = {}
        self._taken: Mapping[str, model.Organisation] = {}

    def take(self, organisations: Mapping[str, model.Organisation]) -> None:
        """Take the organisations of a new configuration."""
        taken = self._taken
        come = [
            organisation
            for name, organisation in organisations.items()
            if taken.get(name) is not organisation
        ]
        gone = [taken[name] for name in taken.keys() - organisations.keys()]
        replaced = [taken[one.name] for one in come if one.name in taken]
        # All old hashes go before any new one comes: a key may have moved
        # from one organisation to another.
        for organisation in (*gone, *replaced):
            self._forget(organisation)
        for organisation in come:
            self.max_queued_by_name[organisation.name] = organisation.max_queued
            for key_hash in organisation.key_hashes:
                self.name_by_hash[key_hash] = organisation.name
        self._taken = organisations

    def _forget(self, organisation: model.Organisation) -> None:
        del self.max_queued_by_name[organisation.name]
        for key_hash in organisation.key_hashes:
            self.name_by_hash.pop(key_hash, None)
