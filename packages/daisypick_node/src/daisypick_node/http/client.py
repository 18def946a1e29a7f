"""Calls that are never sent twice.

``geventhttpclient`` resends PUT, DELETE and GET by itself when a connection
closes before the answer. For a request that may not be repeated, or for a
conditional write to the platform, such a resend is a second run that nobody
has decided on: a family is charged twice, or an operator is told of a
conflict with his own write. The clients made here never resend; a broken call
is reported to those who decide on retries.

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

# The library tries ``size + 1`` further times; the attribute serves no other
# purpose once the pool is built.
_NEVER_RESEND = -1

# What a broken call can raise: the socket's errors (timeouts among them) and
# the library's complaint about a malformed or cut answer.
CALL_ERRORS = (
    OSError,
    library_response.HTTPParseError,
)


class NotConnectedError(ConnectionError):
    """There was no connection, so nothing of the call was sent."""


Response = library_response.HTTPSocketPoolResponse


class Address(typing.NamedTuple):
    """Where a process listens, by IP number."""

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
    """Keeps connections to many addresses, by address.

    Attributes:
        timeout: Seconds without a byte after which a call breaks.
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
        """Send a call once and return its answer's head.

        Raises:
            NotConnectedError: No connection; nothing was sent.
            OSError: The connection broke, or no byte within ``timeout``.
            HTTPParseError: The answer is cut or malformed.
        """
        client = self._client_by_address.get(address)
        if client is None:
            client = self._make_client(parse_address(address))
            self._client_by_address[address] = client
        return client.request(method, path, body=body, headers=headers or {})

    def forget(self, address: str) -> None:
        """Drop the idle connections to an address.

        Connections of one age tend to go silent together, when something
        between the ends has lost track of them: each would cost its caller
        a whole timeout. New ones are made for the next calls.
        """
        client = self._client_by_address.pop(address, None)
        if client is not None:
            client.close()

    def keep_only(self, addresses: frozenset[str]) -> None:
        """Drop the connections to all other addresses."""
        for address in set(self._client_by_address) - addresses:
            self.forget(address)

    def close(self) -> None:
        """Drop all idle connections."""
        for address in list(self._client_by_address):
            self.forget(address)

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
        if _is_number(address.host):
            pool._resolve = functools.partial(_resolve_number, address)
        pool._create_socket = _mark_errors(pool._create_socket)
        return client


def read_available(response: Response) -> bytes:
    """Return the bytes that have arrived, or wait for some.

    Returns ``b""`` only at the end of a whole answer. The library's ``read``
    waits until a given length is there, which would hold streamed tokens
    back; this does one ``recv`` at most.

    Raises:
        OSError: No byte within the timeout, or the connection broke.
        HTTPParseError: The answer is cut or malformed.
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
    """Close the connection of an answer that nobody reads to its end."""
    response.release()


def _make_ssl_context(cafile: str) -> gevent.ssl.SSLContext:
    """Return a context whose sockets leave the loop running.

    The library's own default makes sockets of the standard library, whose
    handshake blocks the one thread: a far end in the same state would wait
    for it for good.
    """
    context = gevent.ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cafile)
    return context


def _is_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _resolve_number(address: Address) -> list[tuple[typing.Any, ...]]:
    """Return what ``getaddrinfo`` would, without its pool of threads."""
    is_v6 = ":" in address.host
    family = gevent.socket.AF_INET6 if is_v6 else gevent.socket.AF_INET
    kind, protocol = gevent.socket.SOCK_STREAM, gevent.socket.IPPROTO_TCP
    return [(family, kind, protocol, "", tuple(address))]


def _mark_errors(
    connect: Callable[[], gevent.socket.socket],
) -> Callable[[], gevent.socket.socket]:
    """Return a connect whose errors prove that nothing was sent.

    A timeout alone does not tell whether the far end has read the call; one
    that comes while connecting does, and lets a booking be tried elsewhere.
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
    """Return a socket that sends small frames at once."""
    sock = gevent.socket.socket(family, socktype, protocol)
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    return sock


def _is_socket_idle(sock: gevent.socket.socket | None) -> bool:
    """Tell whether a pooled socket can be used again.

    The library asks ``select``, which knows no descriptor above 1023: a busy
    router would throw every pooled connection away.
    """
    if sock is None or sock.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return not poller.poll(0)
