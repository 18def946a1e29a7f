"""The router's decisions: what waits, where it is sent, what is retried.

* ``dispatcher``: the router's core, which composes the parts below.
* ``actions``: what the dispatcher asks its driver to do.
* ``agents``: what the router believes of each agent.
* ``pick``: the registered policies that choose an agent.
* ``retry_budget``: how many retries the fleet's health allows.
"""
