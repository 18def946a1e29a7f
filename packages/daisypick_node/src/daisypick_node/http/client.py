"""A pooled HTTP client whose calls are never resent.

``geventhttpclient`` resends PUT, DELETE and GET by itself when a connection
closes before the response. If the request is not repeatable, or is a
conditional write to the platform, such a resend can run it a second time: a
payment is charged twice, or an operator gets a conflict with his own write.
The clients made here never resend; a failed call is reported to the caller of
this module, which decides on retries.

See Also:
    ``daisypick_core.routing.dispatcher``: where retries are decided.
"""

from collections.abc import Callable
from collections.abc import Mapping
import functools
import ipaddress
import select
import ssl
import typing

import gevent.socket
import gevent.ssl
import geventhttpclient
from geventhttpclient import response as library_response

BLOCK_SIZE = 65536
MAX_CONNECTIONS = 100_000
CONNECT_TIMEOUT = 1.0

# The library retries ``size + 1`` times; the attribute has no other use once
# the pool is built.
_NEVER_RESEND = -1

# Errors of a failed call: socket errors, which include timeouts, and the
# library's parse error for a malformed or truncated response.
CALL_ERRORS = (
    OSError,
    library_response.HTTPParseError,
)


class NotConnectedError(ConnectionError):
    """The connection was not established, so nothing was sent."""


Response = library_response.HTTPSocketPoolResponse


class Address(typing.NamedTuple):
    """IP address and port that a process listens on."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address in ``host:port``.

    Raises:
        ValueError: ``text`` is not ``host:port``.

    Examples:
        >>> parse_address("127.0.0.1:8080")
        Address(host='127.0.0.1', port=8080)
        >>> parse_address("nowhere")
        Traceback (most recent call last):
        ...
        ValueError: address: 'nowhere' is not host:port
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"address: {text!r} is not host:port")
    return Address(host=host.strip("[]"), port=int(port))


class ClientPool:
    """Connection pools by address.

    Attributes:
        timeout: Seconds without a byte after which a call fails.
    """

    def __init__(self, *, timeout: float, ca_file: str | None = None) -> None:
        self.timeout = timeout
        self._ca_file = ca_file
        self._client_by_address: dict[str, geventhttpclient.HTTPClient] = {}

    def request(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Send a call once and return the response once its head arrived.

        Raises:
            NotConnectedError: No connection; nothing was sent.
            OSError: The connection failed, or no byte within ``timeout``.
            HTTPParseError: The response is truncated or malformed.
        """
        client = self._client_by_address.get(address)
        if client is None:
            client = self._make_client(parse_address(address))
            self._client_by_address[address] = client
        return client.request(method, path, body=body, headers=headers or {})

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        Connections of the same age tend to stop responding together, when a
        device in between has dropped their state, and each would cost a call
        a whole timeout. Later calls open new connections.
        """
        client = self._client_by_address.pop(address, None)
        if client is not None:
            client.close()

    def keep_only(self, addresses: frozenset[str]) -> None:
        """Close the idle connections to all other addresses."""
        for address in set(self._client_by_address) - addresses:
            self.close_idle(address)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._client_by_address):
            self.close_idle(address)

    def _make_client(self, address: Address) -> geventhttpclient.HTTPClient:
        options: dict[str, typing.Any] = {}
        if self._ca_file is not None:
            options = {
                "ssl": True,
                "ssl_options": {"ca_certs": self._ca_file},
                "ssl_context_factory": _make_ssl_context,
            }
        client = geventhttpclient.HTTPClient(
            address.host,
            port=address.port,
            block_size=BLOCK_SIZE,
            connection_timeout=CONNECT_TIMEOUT,
            network_timeout=self.timeout,
            concurrency=MAX_CONNECTIONS,
            **options,
        )
        pool = client._connection_pool
        pool.size = _NEVER_RESEND
        pool._create_tcp_socket = _create_socket
        pool._is_socket_alive = _is_socket_idle
        if _is_ip_address(address.host):
            pool._resolve = functools.partial(_resolve_ip_address, address)
        pool._create_socket = _wrap_connect_errors(pool._create_socket)
        return client


def read_available(response: Response) -> bytes:
    """Return the buffered bytes, or wait until some arrive.

    Returns ``b""`` only at the end of a complete response. The library's
    ``read`` waits for a given length, which would delay streamed tokens; this
    function returns after the first ``recv`` that yields body bytes.

    Raises:
        OSError: No byte within the timeout, or the connection failed.
        HTTPParseError: The response is truncated or malformed.
    """
    while not response._body_buffer and not response.message_complete:
        sock = response._sock
        if sock is None:
            raise ConnectionError("answer: connection is gone")
        try:
            data = sock.recv(BLOCK_SIZE)
            if not data and not response.message_complete:
                response.feed(data)
            if not data and not response.message_complete:
                raise ConnectionError("answer: broke off before its end")
            response.feed(data)
        except BaseException:
            response.release()
            raise
    data = bytes(response._body_buffer)
    response._body_buffer.clear()
    return data


def abandon(response: Response) -> None:
    """Close the connection of a response without reading the rest."""
    response.release()


def _make_ssl_context(cafile: str) -> gevent.ssl.SSLContext:
    """Return a TLS context whose sockets do not block the event loop.

    The library's default context makes standard library sockets, whose
    handshake blocks the only thread. Two processes in a handshake with each
    other would deadlock.
    """
    context = gevent.ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cafile)
    return context


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _resolve_ip_address(address: Address) -> list[tuple[typing.Any, ...]]:
    """Return the ``getaddrinfo`` result without the resolver's threads."""
    is_v6 = ":" in address.host
    family = gevent.socket.AF_INET6 if is_v6 else gevent.socket.AF_INET
    kind, protocol = gevent.socket.SOCK_STREAM, gevent.socket.IPPROTO_TCP
    return [(family, kind, protocol, "", tuple(address))]


def _wrap_connect_errors(
    connect: Callable[[], gevent.socket.socket],
) -> Callable[[], gevent.socket.socket]:
    """Return a connect function that raises ``NotConnectedError``.

    A timeout alone does not show whether the peer has read the call. One
    during connect proves that nothing was sent, so that even a request that
    is not repeatable can be sent to another server.
    """

    def _connect() -> gevent.socket.socket:
        try:
            return connect()
        except OSError as error:
            raise NotConnectedError(type(error).__name__) from error

    return _connect


def _create_socket(
    family: int, socktype: int, protocol: int
) -> gevent.socket.socket:
    """Return a socket with ``TCP_NODELAY``, so small frames are not delayed."""
    sock = gevent.socket.socket(family, socktype, protocol)
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    return sock


def _is_socket_idle(sock: gevent.socket.socket | None) -> bool:
    """Return whether a pooled socket can be reused.

    The library uses ``select``, which does not support file descriptors above
    1023, so a busy router would discard every pooled connection.
    """
    if sock is None or sock.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return not poller.poll(0)
