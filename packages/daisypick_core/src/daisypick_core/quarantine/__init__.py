"""Requests that crash the backend servers that run them.

A server that crashes ends all requests that it runs, and any of them may be the
cause. The cause comes again and crashes another server; the others end well
when they are repeated. So a request counts as suspected after a crash, is kept
apart from other suspects after the second one, and is refused after the third.

Requests that are never the same may crash servers by a part of their prompt
that they share. A part is suspected after a crash unless answers to it are
known to go on, and requests with it are refused after the third crash.

* ``digest``: identifies a request across attempts and routers, and a part.
* ``crash_record``: what is known of one request, merged between routers.
* ``crash_ledger``: the records of all suspected requests, in bounded memory.
* ``part_record`` and ``part_ledger``: the same for parts of prompts.
* ``bounded_records``: records that expire.
"""
