"""Requests that crash the backend servers that run them.

* ``digest``: identifies a request across attempts and routers.
"""
