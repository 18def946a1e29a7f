"""Fair queueing of organisations, at one gate and across the fleet.

At a gate:

* ``share_order``: the order in which a gate assigns free slots.
* ``order_policies``: the registered policies that compute that order.
* ``service_account``: tokens charged to and served for an organisation.
* ``estimators``: the registered estimators of a request's cost.

Across the fleet:

* ``tally``: grow-only service totals that merge in any order.
* ``reports``: the messages between agents.
* ``placement``: which agents are collectors and heads, by rendezvous hash.
* ``virtual_service``: virtual service, virtual time, lifts and clamps.
* ``fan_in``: limits the rate of reports.
* ``collector``: gathers the reports of a data centre's agents.
* ``head_view``: a collector's state of a head.
* ``head``: computes the virtual service of a subset of the organisations.
* ``tally_node``: the three roles of one agent, driven by time and responses.

``docs/design/fairness.md`` derives the bound and gives the figures.
"""
