"""The router's decisions: what waits, where it is sent, what is retried.

* ``dispatcher``: the router's core, which composes the parts below.
* ``actions``: what the dispatcher asks its driver to do.
* ``request``: a request, its state on the way, and the bounds.
* ``backlog``: the bounds that a flood meets.
* ``sender``: which request goes where next.
* ``agents``: what the router believes of each agent.
* ``directory``: the agents by address and service; suspensions.
* ``service_view``: the agents of a service, kept for a quick choice.
* ``allowance``: how much of an organisation may wait at agents.
* ``pick``: the registered policies that choose an agent.
* ``affinity``: which agents a prefix belongs to.
* ``hedge``: giving up on agents that do not answer.
* ``outliers``: which agents are slow.
* ``rebalance``: taking back what waits while other slots are free.
* ``flights``: attempts that are out.
* ``refusals``: what becomes of a refusal.
* ``returns``: sending out again, or the final answer.
* ``retries``: backoff and budget of what came back.
* ``retry_budget``: how many retries the fleet's health allows.
* ``backoff``, ``timers``: pauses with jitter, and when they end.
"""
