"""Routes HTTP requests to handlers by method and path pattern.

A segment of a pattern in braces matches any one segment of a path:

>>> routes = Routes()
>>> routes.add('GET', '/v1/streams/{stream}', show_stream)  # doctest: +SKIP

A last segment such as ``{path...}`` matches the rest of the path, which may
be empty, and ``ANY_METHOD`` matches every method:

>>> routes.add(ANY_METHOD, '/files/{path...}', serve_file)  # doctest: +SKIP
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from limpetdrift.transport.messages import Response
from limpetdrift.transport.server import Exchange

Parameters = dict[str, str]
RouteHandler = Callable[[Exchange, Parameters], Awaitable[None]]

ANY_METHOD = '*'
_REST_SUFFIX = '...}'
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405


@dataclass(frozen=True, kw_only=True, slots=True)
class _Route:
    method: str
    segments: tuple[str, ...]
    handler: RouteHandler


class Routes:
    """Dispatches each exchange to the first route that matches.

    Without one the response is 405 if another method matches, else 404.
    """

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, pattern: str, handler: RouteHandler) -> None:
        """Register a handler; routes are tried in the order of addition."""
        self._routes.append(
            _Route(
                method=method,
                segments=_split(pattern),
                handler=handler,
            ),
        )

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one exchange; a ``Server`` takes this as its handler."""
        request = exchange.request
        segments = _split(request.path)
        status = _NOT_FOUND
        for route in self._routes:
            parameters = _match(route.segments, segments)
            if parameters is None:
                continue
            if route.method in {request.method, ANY_METHOD}:
                await route.handler(exchange, parameters)
                return
            status = _METHOD_NOT_ALLOWED
        await exchange.respond(Response(status=status))


def _split(path: str) -> tuple[str, ...]:
    return tuple(path.strip('/').split('/'))


def _match(
    pattern: tuple[str, ...],
    segments: tuple[str, ...],
) -> Parameters | None:
    if pattern[-1].endswith(_REST_SUFFIX):
        return _match_rest(pattern, segments)
    if len(pattern) != len(segments):
        return None
    parameters: Parameters = {}
    for expected, actual in zip(pattern, segments, strict=True):
        if expected.startswith('{'):
            parameters[expected.strip('{}')] = actual
        elif expected != actual:
            return None
    return parameters


def _match_rest(
    pattern: tuple[str, ...],
    segments: tuple[str, ...],
) -> Parameters | None:
    *fixed, last = pattern
    parameters = _match(tuple(fixed), segments[: len(fixed)])
    if parameters is not None:
        rest = '/'.join(segments[len(fixed) :])
        parameters[last.removeprefix('{').removesuffix(_REST_SUFFIX)] = rest
    return parameters
