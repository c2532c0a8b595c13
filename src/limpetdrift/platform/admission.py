"""Reads callers' requests into work for the core.

Headers that concern one connection only, and those that the system sets
itself, are not passed on, whatever the caller sent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from expression import Error, Ok, Result

from limpetdrift.protocol.route_table import Account, Route
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import CallerRequest, PromptSize
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.messages import Headers, Request

_MILLISECONDS = 1000.0
# A caller that names no time gets the route's.
_UNBOUNDED_SECONDS = float('inf')
_BEARER = 'bearer '
_PRIORITIES = 9

REQUEST_ID_HEADER = 'attempt-id'
DEADLINE_MS_HEADER = 'deadline-ms'
AUTHORIZATION_HEADER = 'authorization'
CLIENT_ACCOUNT_HEADER = 'tenant'
EXPECTED_INSTANCE_HEADER = 'expect-instance'
HELPERS_HEADER = 'helpers'
REQUEST_URGENCY_HEADER = 'request-urgency'
EXPECTED_VERSION_HEADER = 'expect-version'
TOKEN_USAGE_HEADER = 'token-usage'
LAST_EVENT_ID_HEADER = 'last-event-id'

CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    ),
)
_OWN_HEADERS = frozenset(
    (
        AUTHORIZATION_HEADER,
        CLIENT_ACCOUNT_HEADER,
        EXPECTED_INSTANCE_HEADER,
        HELPERS_HEADER,
        REQUEST_URGENCY_HEADER,
        EXPECTED_VERSION_HEADER,
        DEADLINE_MS_HEADER,
    ),
)


@dataclass(frozen=True, kw_only=True)
class AdmissionInputs:
    """What admission needs: the routes, a clock and a source of chance.

    Keys are trusted if the routes were confirmed within the first time, and
    nothing is called unknown unless they were within the second.
    """

    routes: RouteTableCache
    clock: Callable[[], float]
    randomness: Random
    key_staleness_bound_seconds: float
    lookup_staleness_bound_seconds: float


def admit(
    request: Request, admission: AdmissionInputs
) -> Result[CallerRequest, Failure]:
    """Decode a request and find its route and account.

    The failure is one that proves that the request has not run.
    """
    table = admission.routes.table
    if table is None:
        return Error(not_run(Reason.UNCONFIRMED, 'no configuration yet'))
    path = request.target.partition('?')[0]
    host = request.header('host').partition(':')[0].lower()
    route = admission.routes.find_route(host, path)
    if route is None:
        return _unknown(Reason.NOT_FOUND, f'{host}{path}', admission)
    if route.public or not table.requires_keys:
        return _make_work(request, route, None, admission)
    key = _key(request)
    if not is_confirmed(admission):
        return Error(
            not_run(Reason.UNCONFIRMED, 'keys could not be confirmed'),
        )
    account = admission.routes.find_account(key)
    if account is None:
        return _unknown(Reason.UNAUTHORIZED, 'key', admission)
    return _make_work(request, route, account, admission)


def check_key(
    work: CallerRequest, admission: AdmissionInputs
) -> Failure | None:
    """Return why a request may not be sent now, if its key is in doubt."""
    if not work.account:
        return None
    if not is_confirmed(admission):
        age = admission.routes.age_seconds()
        return not_run(Reason.UNCONFIRMED, f'keys confirmed {age:.1f} s ago')
    if admission.routes.find_account(work.key) is None:
        return not_run(Reason.UNAUTHORIZED, 'the key was taken away')
    return None


def is_confirmed(admission: AdmissionInputs) -> bool:
    """Return whether the keys that are held are surely still valid."""
    age = admission.routes.age_seconds()
    return age <= admission.key_staleness_bound_seconds


def _unknown(
    reason: Reason,
    detail: str,
    admission: AdmissionInputs,
) -> Result[CallerRequest, Failure]:
    """Refuse what isn't known; a newer configuration may know it."""
    if (
        admission.routes.age_seconds()
        > admission.lookup_staleness_bound_seconds
    ):
        return Error(not_run(Reason.UNCONFIRMED, f'unknown yet: {detail}'))
    return Error(not_run(reason, f'unknown: {detail}'))


def _make_work(
    request: Request,
    route: Route,
    account: Account | None,
    admission: AdmissionInputs,
) -> Result[CallerRequest, Failure]:
    now = admission.clock()
    patience = _patience_seconds(request)
    if patience is None:
        return Error(not_run(Reason.BAD_REQUEST, 'deadline is no number'))
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return Ok(
        CallerRequest(
            request_id=request.header(REQUEST_ID_HEADER),
            method=request.method,
            target=request.target,
            headers=_passed_headers(request.headers),
            body=request.body,
            route=route,
            service=_draw_service(route, admission.randomness),
            version=admission.routes.version,
            arrived_at=now,
            deadline=now + min(patience, route.timeout_seconds),
            account=account.name if account else '',
            key=_key(request) if account else '',
            priority=min(_PRIORITIES, max(0, priority)),
            size=_prompt_size(request.header(TOKEN_USAGE_HEADER)),
            last_event_id=_event_id(request.header(LAST_EVENT_ID_HEADER)),
        ),
    )


def _key(request: Request) -> str:
    given = request.header(AUTHORIZATION_HEADER)
    if given[: len(_BEARER)].lower() != _BEARER:
        return ''
    return given[len(_BEARER) :].strip()


def _patience_seconds(request: Request) -> float | None:
    given = request.header(DEADLINE_MS_HEADER)
    if not given:
        return _UNBOUNDED_SECONDS
    try:
        return max(0, float(given)) / _MILLISECONDS
    except ValueError:
        return None


def _prompt_size(text: str) -> PromptSize | None:
    """Read ``PROMPT,ANSWER`` in tokens; what can't be read has no size."""
    prompt, _, answer = text.partition(',')
    if not (prompt.strip().isdigit() and answer.strip().isdigit()):
        return None
    return PromptSize(prompt_tokens=int(prompt), answer_tokens=int(answer))


def _event_id(text: str) -> int | None:
    return int(text) if text.isdigit() else None


def _draw_service(route: Route, randomness: Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    return randomness.choices(route.shares, weights)[0].service


def _passed_headers(headers: Headers) -> Headers:
    named = {
        name.strip().lower()
        for key, text in headers
        if key == 'connection'
        for name in text.split(',')
    }
    dropped = CONNECTION_HEADERS | _OWN_HEADERS | named
    return tuple(pair for pair in headers if pair[0] not in dropped)
