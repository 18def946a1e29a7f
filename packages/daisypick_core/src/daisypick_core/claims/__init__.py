"""At most once for requests that may not be repeated.

The agent that is about to run such a request first claims its idempotency
key in the platform's store, by conditional update. Whoever loses asks the
agent that won what became of the winner's attempt.

* ``entry``: a claim as it is stored, and the shard of a key.
* ``shard``: a shard's objects as values; which claims they grant.
* ``outcomes``: what a batcher answers to a claim.
* ``batcher``: commits the claims of many agents in few writes.
* ``claimant``: the agent's side, from claim to verdict.
* ``actions``: what batcher and claimant ask their drivers to do.
* ``pick``: which agent is the batcher of a shard.

See Also:
    ``docs/design/at_most_once.md``, ``spec/``: why this is enough.
"""
