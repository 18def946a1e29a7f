"""HTTP, thin over gevent's WSGI server and ``geventhttpclient``.

* ``routes``: typed calls and replies, and the table of handlers.
* ``server``: one listening socket of a process.
* ``client``: one call that is never sent twice.
* ``peers``: JSON calls between processes of the fleet, counted.
* ``keys``: who may call what.
"""
