"""Which processes are considered live.

* ``directory``: processes known from contact, from the configuration and
  from the platform's list, which is delayed.
* ``relay_tree``: the routers from which a router receives changes;
* ``standing``: whether the other routers count this one.
"""
