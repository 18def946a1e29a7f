"""The platform: objects with versions, the list of VMs, model weights.

* ``interface``: what a client of the platform offers, and the registry of
  clients, so that another platform is another registered client.
"""
