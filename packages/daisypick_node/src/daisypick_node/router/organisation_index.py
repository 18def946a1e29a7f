"""Organisations by the hash of their keys, updated incrementally.

A change of one organisation among 22,000 keeps the objects of all others, so
only entries whose object differs are processed. Rebuilding the index at each
of 12,000 changes a day would delay every stream of the router, which has a
single event loop.

Examples:
    >>> index = OrganisationIndex()
    >>> index.update({"union": model.Organisation("union", key_hashes=("a",))})
    >>> index.name_by_hash, index.max_queued_by_name
    ({'a': 'union'}, {'union': 512})
"""

from collections.abc import Mapping

from daisypick_core.configuration import model


class OrganisationIndex:
    """Organisations and queue bounds, looked up for each request.

    Attributes:
        name_by_hash: Name of the organisation by SHA-256 of a key.
        max_queued_by_name: Maximum number of queued requests by organisation.
    """

    def __init__(self) -> None:
        self.name_by_hash: dict[str, str] = {}
        self.max_queued_by_name: dict[str, int] = {}
        self._indexed: Mapping[str, model.Organisation] = {}

    def update(self, organisations: Mapping[str, model.Organisation]) -> None:
        """Index the organisations of a new configuration."""
        indexed = self._indexed
        changed = [
            organisation
            for name, organisation in organisations.items()
            if indexed.get(name) is not organisation
        ]
        removed = [
            indexed[name] for name in indexed.keys() - organisations.keys()
        ]
        replaced = [indexed[one.name] for one in changed if one.name in indexed]
        # All old hashes are removed before any new one is added, because a
        # key may have moved from one organisation to another.
        for organisation in (*removed, *replaced):
            self._remove(organisation)
        for organisation in changed:
            self.max_queued_by_name[organisation.name] = organisation.max_queued
            for key_hash in organisation.key_hashes:
                self.name_by_hash[key_hash] = organisation.name
        self._indexed = organisations

    def _remove(self, organisation: model.Organisation) -> None:
        del self.max_queued_by_name[organisation.name]
        for key_hash in organisation.key_hashes:
            self.name_by_hash.pop(key_hash, None)
