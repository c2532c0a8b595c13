"""Immutable HTTP messages, and the default limits on their size."""

from collections.abc import Iterator
from dataclasses import dataclass, field

Headers = tuple[tuple[str, str], ...]

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
UNAVAILABLE = 503

DEFAULT_BODY_LIMIT_BYTES = 16_777_216
DEFAULT_HEADER_LIMIT_BYTES = 32_768


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Address:
    """An IP address and TCP port, such as ``127.0.0.1:8100``."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``host:port``; raise ``ValueError`` for any other text.

    >>> parse_address('127.0.0.1:8100').port
    8100
    """
    host, separator, port = text.rpartition(':')
    if not (host and separator and port.isdigit()):
        raise ValueError(f'expected host:port, got {text!r}')
    return Address(host=host, port=int(port))


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


def _header_values(headers: Headers, wanted_name: str) -> Iterator[str]:
    return (text for name, text in headers if name == wanted_name)
