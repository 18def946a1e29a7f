"""A router's view of the fleet that it serves, as values and small rules.

* ``fleet_configuration``: routes, services, organisations and limits.
* ``route_table``: matches requests to routes.
* ``backend_server``: one instance of a backend server.
* ``directory``: the backend servers that may receive requests.
* ``restore_hold``: state kept while a restored store catches up.
* ``sliding_window``: counts events in a sliding window.
* ``cold_quotas``: each router's quota of a cold server's rate.
* ``cold_limit``: rate limit of requests to cold backend servers.
* ``retry_budget``: limit of retries per service.
* ``outcomes``: ejects backend servers after repeated failures.
* ``server_pauses``: servers that asked this router for a pause.
* ``event_stream``: complete events of a stream, in order, without duplicates.
"""
