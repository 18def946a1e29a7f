"""Who is served next, at one gate and across the fleet.

At a gate:

* ``share_order``: the order in which a gate gives free slots.
* ``order_policies``: the registered ways to compute that order.
* ``service_account``: tokens charged to and served for an organisation.
* ``estimators``: the registered ways to expect a request's cost.

Across the fleet:

* ``tally``: grow-only service totals that merge in any order.
* ``reports``: what agents tell each other.
* ``placement``: which agents collect, by rendezvous hash.
* ``virtual_service``: virtual service, virtual time, lifts and clamps.
* ``fan_in``: how often senders may report.
* ``collector``: gathers the reports of a data centre's agents.
* ``head_view``: what a collector knows of a head.
* ``head``: keeps the virtual service of a part of the organisations.
* ``tally_node``: the three roles in one agent, driven by time and answers.

``docs/design/fairness.md`` derives the bound and gives the figures.
"""
