"""HTTP/1.1 server and client, with ``httptools`` on gevent sockets.

The usual WSGI server cannot detect that a caller disconnects before the
response starts, and chooses the framing of responses itself. The parser library
is therefore used directly, for callers and backend servers alike.

* ``messages``: requests and responses as values, and their serialisation.
* ``request_reader``: parses a caller's bytes into complete requests.
* ``response_reader``: parses a backend server's bytes into responses.
* ``server``: one caller's connection.
* ``connection``: one connection to a backend server.
* ``pool``: persistent connections by address.
* ``idle_limits``: for how long an idle connection may be reused.
* ``clocks``: the clock for the age of what a process knows.
"""
