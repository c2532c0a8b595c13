"""Admits callers' requests, and decodes them for the core.

Headers that concern one connection only, and those that the entry consumes or
sets itself, are not forwarded, whatever the caller sent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import isnan
from random import Random

from expression import Error, Ok, Result

from limpetdrift.platform.header_names import (
    AUTHORIZATION_HEADER,
    CALLER_HEADERS,
    CONNECTION_HEADERS,
    DEADLINE_MS_HEADER,
    ENTRY_HEADERS,
    LAST_EVENT_ID_HEADER,
    PROMPT_PARTS_HEADER,
    REQUEST_ID_HEADER,
    SINGLE_HEADERS,
    TOKEN_USAGE_HEADER,
)
from limpetdrift.protocol.bounded import MAX_TOKENS
from limpetdrift.protocol.counts import parse_count
from limpetdrift.protocol.route_table import Account, Route
from limpetdrift.protocol.work import CallerRequest, PromptSize
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.messages import Headers, Request
from limpetdrift.verdict import Failure, Reason, not_run

_MILLISECONDS = 1000.0
# Timeout of a request that names none; the route's timeout still applies.
_UNBOUNDED_SECONDS = float('inf')
_BEARER_PREFIX = 'bearer '
# Priority 0 is the highest.
_LOWEST_PRIORITY = 9


@dataclass(frozen=True, kw_only=True)
class AdmissionInputs:
    """The route table and its staleness bounds.

    A key is accepted only if the table was confirmed within the last
    ``key_staleness_bound_seconds``. A route or key that is not in the table is
    reported as unknown only if the table was confirmed within the last
    ``lookup_staleness_bound_seconds``. ``clock`` returns seconds.
    """

    routes: RouteTableCache
    clock: Callable[[], float]
    randomness: Random
    key_staleness_bound_seconds: float
    lookup_staleness_bound_seconds: float


def admit(
    request: Request, admission: AdmissionInputs
) -> Result[CallerRequest, Failure]:
    """Decode a request, and find its route and client account.

    The verdict of each failure is ``NOT_RUN``.
    """
    repeated = _repeated_header(request.headers)
    if repeated:
        return Error(not_run(Reason.BAD_REQUEST, f'{repeated} comes twice'))
    table = admission.routes.table
    if table is None:
        return Error(not_run(Reason.UNCONFIRMED, 'no configuration yet'))
    path = request.target.partition('?')[0]
    host = request.header('host').partition(':')[0].lower()
    route = admission.routes.find_route(host, path)
    if route is None:
        return _refuse_unknown(Reason.NOT_FOUND, f'{host}{path}', admission)
    if route.public or not table.requires_keys:
        return _build_request(request, route, None, admission)
    key = _bearer_key(request)
    if not is_confirmed(admission):
        return Error(
            not_run(Reason.UNCONFIRMED, 'keys could not be confirmed'),
        )
    account = admission.routes.find_account(key)
    if account is None:
        return _refuse_unknown(Reason.UNAUTHORIZED, 'key', admission)
    return _build_request(request, route, account, admission)


def check_key(
    caller_request: CallerRequest, admission: AdmissionInputs
) -> Failure | None:
    """Return a failure if the key of an admitted request may be invalid.

    Called right before an attempt, since the key may have been revoked while
    the request waited.
    """
    if not caller_request.account:
        return None
    if not is_confirmed(admission):
        age = admission.routes.age_seconds()
        return not_run(Reason.UNCONFIRMED, f'keys confirmed {age:.1f} s ago')
    if admission.routes.find_account(caller_request.key) is None:
        return not_run(Reason.UNAUTHORIZED, 'the key was taken away')
    return None


def is_confirmed(admission: AdmissionInputs) -> bool:
    """Return whether the route table is within the staleness bound of keys."""
    age = admission.routes.age_seconds()
    return age <= admission.key_staleness_bound_seconds


def _refuse_unknown(
    reason: Reason,
    detail: str,
    admission: AdmissionInputs,
) -> Result[CallerRequest, Failure]:
    """Refuse a request whose route or key is not in the route table.

    While the table may be outdated, the reason is ``UNCONFIRMED``, since a
    newer one may have them.
    """
    if (
        admission.routes.age_seconds()
        > admission.lookup_staleness_bound_seconds
    ):
        return Error(not_run(Reason.UNCONFIRMED, f'unknown yet: {detail}'))
    return Error(not_run(reason, f'unknown: {detail}'))


def _build_request(
    request: Request,
    route: Route,
    account: Account | None,
    admission: AdmissionInputs,
) -> Result[CallerRequest, Failure]:
    now = admission.clock()
    timeout = _requested_timeout_seconds(request)
    if timeout is None:
        return Error(not_run(Reason.BAD_REQUEST, 'deadline is no number'))
    service = _draw_service(route, admission.randomness)
    size = _parse_prompt_size(request.header(TOKEN_USAGE_HEADER))
    if size is None and _has_bad_size(request, service, admission):
        detail = f'{TOKEN_USAGE_HEADER} is no pair of counts'
        return Error(not_run(Reason.BAD_REQUEST, detail))
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return Ok(
        CallerRequest(
            request_id=request.header(REQUEST_ID_HEADER),
            method=request.method,
            target=request.target,
            headers=_forwarded_headers(request.headers),
            body=request.body,
            route=route,
            service=service,
            version=admission.routes.version,
            arrived_at=now,
            deadline=now + min(timeout, route.timeout_seconds),
            account=account.name if account else '',
            key=_bearer_key(request) if account else '',
            priority=min(_LOWEST_PRIORITY, max(0, priority)),
            size=size,
            prompt_parts=parse_prompt_parts(
                request.header(PROMPT_PARTS_HEADER)
            ),
            last_event_id=parse_count(request.header(LAST_EVENT_ID_HEADER)),
        ),
    )


def _bearer_key(request: Request) -> str:
    value = request.header(AUTHORIZATION_HEADER)
    if value[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return ''
    return value[len(_BEARER_PREFIX) :].strip()


def _requested_timeout_seconds(request: Request) -> float | None:
    value = request.header(DEADLINE_MS_HEADER)
    if not value:
        return _UNBOUNDED_SECONDS
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return None if isnan(milliseconds) else max(0, milliseconds) / _MILLISECONDS


def _parse_prompt_size(text: str) -> PromptSize | None:
    """Parse ``PROMPT,ANSWER`` in tokens; return ``None`` if it is invalid."""
    prompt, _, answer = text.partition(',')
    prompt_tokens, answer_tokens = parse_count(prompt), parse_count(answer)
    if prompt_tokens is None or answer_tokens is None:
        return None
    if max(prompt_tokens, answer_tokens) > MAX_TOKENS:
        return None
    return PromptSize(prompt_tokens=prompt_tokens, answer_tokens=answer_tokens)


def _has_bad_size(
    request: Request, service_name: str, admission: AdmissionInputs
) -> bool:
    """Return whether a prompt names a size that no engine could be asked for.

    A prompt without a size is planned with a usual one.
    """
    service = admission.routes.find_service(service_name)
    is_prompt = service is not None and service.engine is not None
    return is_prompt and bool(request.header(TOKEN_USAGE_HEADER))


def parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids in a list of ``ID:TOKENS``, without empty ones.

    >>> parse_prompt_parts('5c1e07a2:800, 91bd3f06:410')
    ('5c1e07a2', '91bd3f06')
    """
    ids = (entry.partition(':')[0].strip().lower() for entry in text.split(','))
    return tuple(filter(None, ids))


def _draw_service(route: Route, randomness: Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    return randomness.choices(route.shares, weights)[0].service


def _forwarded_headers(headers: Headers) -> Headers:
    connection_names = {
        name.strip().lower()
        for key, text in headers
        if key == 'connection'
        for name in text.split(',')
    }
    # A caller must not take from an endpoint what tells its request apart.
    named = connection_names - CALLER_HEADERS
    dropped = CONNECTION_HEADERS | ENTRY_HEADERS | named
    return tuple(pair for pair in headers if pair[0] not in dropped)


def _repeated_header(headers: Headers) -> str:
    """Return a name that comes twice though one is meant, or ``''``."""
    seen = set()
    for name, _ in headers:
        if name in seen:
            return name
        if name in SINGLE_HEADERS:
            seen.add(name)
    return ''
