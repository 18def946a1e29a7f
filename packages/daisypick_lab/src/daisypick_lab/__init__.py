"""Embedded fleet, load, demo and measurements.

* ``deployments``: size and load of the demo and the reference deployments.
* ``embedded``: a whole fleet in one process; ``folder`` manages its folder.
* ``load``: generates calls of organisations over real sockets; ``callers``
  makes and checks one call, ``tally`` collects the measurements.
* ``sampler``: samples of service, backlog and busy slots over time.
* ``run``: runs a fleet under load while a data centre is taken out of service
  and restored; ``results`` holds the result, ``report`` renders it and
  ``comparison`` compares it with earlier results.
* ``fault_scenarios``: fault injection while the fleet serves.
* ``fit``: linear regression over measured points, used by ``bench``.
* ``commands``: ``daisypick demo`` and ``daisypick measure``.

The modules named ``..._model`` simulate the decision logic on a virtual clock.
"""
