"""At-most-once execution of requests that may not be repeated.

Before an agent runs such a request, it claims the request's idempotency key
in the platform's store by a conditional update. An agent whose claim loses
queries the agent of the winning attempt for that attempt's status.

* ``entry``: the stored form of a claim, and the shard of a key.
* ``shard``: a shard's objects as values; which claims they grant.
* ``outcomes``: a batcher's responses to a claim.
* ``batcher``: commits the claims of many agents in few writes.
* ``claimant``: the agent's side, from claim to verdict.
* ``actions``: the actions that batcher and claimant request from drivers.
* ``pick``: which agent is the batcher of a shard.

See Also:
    ``docs/design/at_most_once.md``, ``spec/``: why this is sufficient.
"""
