"""Immutable HTTP messages, and the default limits on their size."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass, field

Headers = tuple[tuple[str, str], ...]

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
UNAVAILABLE = 503

DEFAULT_BODY_LIMIT_BYTES = 16_777_216
DEFAULT_HEADER_LIMIT_BYTES = 32_768

MAX_PORT = 65_535
# Length of the longest text of an IPv6 address.
_MAX_HOST_CHARACTERS = 45
_MAX_PORT_CHARACTERS = len(str(MAX_PORT))
# Characters of a wrong text that an error message shows.
_MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Address:
    """An IP address and TCP port, such as ``127.0.0.1:8100``.

    Port 0 is any free port, and only to listen on. Raises ``ValueError`` for
    what a socket would not take, such as a name that has to be resolved.
    """

    host: str
    port: int

    def __post_init__(self) -> None:
        if not is_ip_address(self.host):
            raise ValueError(
                f'expected an IP address, got {_quote_begin(self.host)}'
            )
        if not 0 <= self.port <= MAX_PORT:
            raise ValueError(f'expected a port up to {MAX_PORT}')

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address.

    >>> is_ip_address('::1'), is_ip_address('10.1..9')
    (True, False)
    """
    if len(text) > _MAX_HOST_CHARACTERS:
        return False
    family = socket.AF_INET6 if ':' in text else socket.AF_INET
    try:
        socket.inet_pton(family, text)
    except (OSError, ValueError):
        return False
    return True


def parse_listen_address(text: str) -> Address:
    """Parse ``host:port``, where port 0 is any free port.

    Raises ``ValueError`` for any other text.
    """
    host, _, port = text.rpartition(':')
    # Some digits outside of ASCII are no digits for ``int``.
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > _MAX_PORT_CHARACTERS:
        raise ValueError(f'expected host:port, got {_quote_begin(text)}')
    return Address(host=host, port=int(port))


def parse_address(text: str) -> Address:
    """Parse ``host:port`` of a process that can be connected to.

    Raises ``ValueError`` for any other text.

    >>> parse_address('127.0.0.1:8100').port
    8100
    """
    address = parse_listen_address(text)
    if not address.port:
        raise ValueError(f'expected a port, got {_quote_begin(text)}')
    return address


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One HTTP request with its whole body.

    ``path`` is without the query, whose decoded pairs are in ``query``.
    Header names are lower case. ``target`` is the undecoded path and query
    of a request to be forwarded byte for byte; a client sends it, unless it
    is empty, in place of ``path`` and ``query``.
    """

    method: str
    path: str
    target: str = ''
    query: dict[str, str] = field(default_factory=dict)
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: str, default: str = '') -> str:
        """Return the first header of a lower-case name, or the default."""
        return next(_header_values(self.headers, name), default)


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """One HTTP response with its whole body."""

    status: int
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: str, default: str = '') -> str:
        """Return the first header of a lower-case name, or the default."""
        return next(_header_values(self.headers, name), default)


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    r"""Return headers as the bytes that were decoded to them.

    >>> encode_headers((('x', 'caf\xe9'),))
    [(b'x', b'caf\xe9')]
    """
    return [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in headers
    ]


def encode_header_text(text: str) -> str:
    r"""Return a text of any language as a header's value, sent as UTF-8.

    Values of headers are kept as their bytes in Latin-1.

    >>> encode_headers((('x', encode_header_text('\u015f')),))
    [(b'x', b'\xc5\x9f')]
    """
    return text.encode().decode('latin-1')


def _quote_begin(text: str) -> str:
    """Return the first characters of a text, quoted for an error message."""
    return repr(text[:_MAX_SHOWN_CHARACTERS])


def _header_values(headers: Headers, wanted_name: str) -> Iterator[str]:
    return (text for name, text in headers if name == wanted_name)
