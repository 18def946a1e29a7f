"""HTTP server and client, on gevent's WSGI server and ``geventhttpclient``.

* ``routes``: typed calls and replies, and handlers by route.
* ``server``: the HTTP server of a process.
* ``client``: pooled connections whose calls are never resent.
* ``peers``: JSON calls between processes of the fleet, with traffic counts.
* ``keys``: authentication of fleet processes and operators.
"""
