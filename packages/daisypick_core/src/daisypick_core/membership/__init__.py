"""Which processes are believed to be alive.

* ``directory``: processes known from contact, from the configuration and
  from the platform's lagging list.
* ``relay_tree``: whom a router hears changes from.
"""
