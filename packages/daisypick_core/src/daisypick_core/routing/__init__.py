"""The router's decisions: queueing, load balancing and retries.

* ``dispatcher``: the router's core, composed of the modules below.
* ``actions``: the actions that the driver carries out.
* ``request``: a request, its state in the router, and the queue limits.
* ``backlog``: the queue limits under overload.
* ``sender``: which request is sent to which agent next.
* ``agents``: the router's estimate of the state of each agent.
* ``directory``: the agents by address and service; suspensions.
* ``service_view``: the agents of a service, indexed for selection.
* ``allowance``: how many attempts of an organisation may wait at agents.
* ``pick``: the registered policies that choose an agent.
* ``affinity``: the preferred agents of a prompt prefix.
* ``hedge``: failover from agents that do not respond.
* ``outliers``: detection of slow agents.
* ``rebalance``: withdrawal of waiting attempts while other slots are free.
* ``sent_attempts``: attempts in flight.
* ``refusals``: the classification of refusals.
* ``return_handler``: resending a returned request, or its final response.
* ``retries``: backoff and retry budget of returned requests.
* ``retry_budget``: limit of retries relative to first attempts.
* ``backoff``, ``timers``: exponential backoff with jitter, and its timers.
"""
