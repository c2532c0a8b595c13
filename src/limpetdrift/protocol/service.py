"""Calls plain services, and reads their load.

The way in which plain services are called (docs/PLATFORM.md) is handled only
here. Any answer but a documented refusal is the service's own and is passed on
without the headers of one connection and of this system. An answer that does
not repeat the call's key and attempt belongs to another call and proves
nothing about this one.
"""

from dataclasses import dataclass, replace
from urllib.parse import quote

from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import (
    OK,
    UNAVAILABLE,
    Address,
    Headers,
    Request,
    Response,
)
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

REQUEST_KEY_HEADER = 'x-request-key'
ATTEMPT_HEADER = 'x-attempt'
LOAD_TIMEOUT_SECONDS = 1.0
_LOAD_PATH = '/load'

_REFUSALS = {
    'leaving': Reason.ENDPOINT_LEAVING,
    'overloaded': Reason.OVERLOADED,
}
# Headers that apply to one connection only, or that each request sets anew.
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Headers that belong to this system, not to the caller or the service.
_OWN_HEADERS = frozenset(('authorization', REQUEST_KEY_HEADER, ATTEMPT_HEADER))
_OWN_PREFIX = 'x-limpet-'


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One attempt of a call, identified by ``request_key`` and ``attempt``."""

    request_key: str
    attempt: int
    request: Request


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLoad:
    """A service instance's own report of its load, as numbers of requests."""

    in_flight: int
    capacity: int
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _Refusal:
    code: str = ''


class ServiceCalls:
    """Calls to any service instance over one HTTP client."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def call(
        self,
        address: Address,
        call: ServiceCall,
        *,
        timeout_seconds: float,
    ) -> Result[Response, Failure]:
        """Send a call on a new connection and read its whole answer.

        The failure's verdict is ``NOT_RUN`` after a refused connection or a
        documented refusal.
        """
        answer = await self._client.fetch(
            address,
            _make_request(call),
            timeout_seconds=timeout_seconds,
            new_connection=True,
        )
        return answer.bind(lambda response: _read_answer(call, response))

    async def load(self, address: Address) -> Result[ServiceLoad, Failure]:
        """Read an instance's load."""
        answer = await self._client.fetch(
            address,
            Request(method='GET', path=_LOAD_PATH),
            timeout_seconds=LOAD_TIMEOUT_SECONDS,
        )
        return answer.bind(_read_load)


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers to pass on between a caller and a service."""
    return tuple(
        (name, text)
        for name, text in headers
        if name not in _CONNECTION_HEADERS
        and name not in _OWN_HEADERS
        and not name.startswith(_OWN_PREFIX)
    )


def _make_request(call: ServiceCall) -> Request:
    request = call.request
    return Request(
        method=request.method,
        path=quote(request.path),
        query=request.query,
        headers=(
            *forwarded_headers(request.headers),
            (REQUEST_KEY_HEADER, call.request_key),
            (ATTEMPT_HEADER, str(call.attempt)),
        ),
        body=request.body,
    )


def _read_answer(
    call: ServiceCall,
    response: Response,
) -> Result[Response, Failure]:
    if not _is_answer_to(call, response):
        return Error(may_have_run(Reason.BAD_ANSWER, 'of another call'))
    reason = _read_refusal(response)
    if reason is not None:
        return Error(not_run(reason, 'refused by the service'))
    return Ok(
        replace(response, headers=forwarded_headers(response.headers)),
    )


def _is_answer_to(call: ServiceCall, response: Response) -> bool:
    key = response.header(REQUEST_KEY_HEADER)
    attempt = response.header(ATTEMPT_HEADER)
    return (key, attempt) == (call.request_key, str(call.attempt))


def _read_refusal(response: Response) -> Reason | None:
    if response.status != UNAVAILABLE:
        return None
    refusal = decode(response.body, _Refusal)
    if refusal.is_error():
        return None
    return _REFUSALS.get(refusal.ok.code)


def _read_load(response: Response) -> Result[ServiceLoad, Failure]:
    if response.status != OK:
        return Error(
            may_have_run(Reason.BAD_ANSWER, f'status {response.status}'),
        )
    return decode(response.body, ServiceLoad)
