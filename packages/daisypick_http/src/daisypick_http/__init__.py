"""HTTP/1.1 in both directions, by ``httptools`` on gevent sockets.

The WSGI server of the house style cannot see a caller leave before its
answer begins and picks the framing of answers itself, so the parser library
is used directly, for callers and backend servers alike.

* ``messages``: requests and answers as values, and how they are written.
* ``request_reader``: bytes of a caller to whole requests.
* ``answer_reader``: bytes of a backend server to the parts of an answer.
* ``server``: one caller's connection.
* ``connection``: one connection to a backend server.
* ``pool``: kept connections by address.
"""
