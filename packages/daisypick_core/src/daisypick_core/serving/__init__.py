"""What a router believes of the fleet it serves, as values and small rules.

* ``fleet_configuration``: routes, services, organisations and limits.
* ``route_table``: which route a request takes.
* ``backend_server``: one start of a backend server.
* ``directory``: the backend servers that may get work.
* ``restore_hold``: what outlasts a store's return from an older copy.
* ``send_window``: how often something happened in a sliding window.
* ``cold_parts``: how much of a cold server's rate each router has.
* ``cold_limit``: how much a cold backend server gets.
* ``retry_budget``: how many requests may be sent once more.
* ``outcomes``: backend servers set aside for what they did.
* ``event_stream``: whole events of a stream, in order, once.
"""
