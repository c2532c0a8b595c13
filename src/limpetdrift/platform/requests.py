"""Reads callers' requests into work for the core.

Headers that concern one connection only, and those that the system sets
itself, are not passed on, whatever the caller sent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from expression import Error, Ok, Result

from limpetdrift.protocol.routetable import Account, Route
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import PromptSize, Work
from limpetdrift.state.heldroutes import HeldRoutes
from limpetdrift.transport.messages import Headers, Request

_MILLISECONDS = 1000.0
# A caller that names no time gets the route's.
_UNBOUNDED_SECONDS = float('inf')
_BEARER = 'bearer '
_PRIORITIES = 9

REQUEST_ID = 'attempt-id'
DEADLINE = 'deadline-ms'
KEY = 'authorization'
ACCOUNT = 'tenant'
EXPECTED = 'expect-instance'
HELPERS = 'helpers'
URGENCY = 'request-urgency'
EXPECTED_VERSION = 'expect-version'
TOKENS = 'token-usage'
LAST_EVENT = 'last-event-id'

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
    (KEY, ACCOUNT, EXPECTED, HELPERS, URGENCY, EXPECTED_VERSION, DEADLINE),
)


@dataclass(frozen=True, kw_only=True)
class Intake:
    """What admission needs: the routes, a clock and a source of chance.

    Keys are trusted if the routes were confirmed within the first time, and
    nothing is called unknown unless they were within the second.
    """

    routes: HeldRoutes
    clock: Callable[[], float]
    randomness: Random
    confirmed_within_seconds: float
    sure_within_seconds: float


def admit(request: Request, intake: Intake) -> Result[Work, Failure]:
    """Decode a request and find its route and account.

    The failure is one that proves that the request has not run.
    """
    table = intake.routes.table
    if table is None:
        return Error(not_run(Reason.UNCONFIRMED, 'no configuration yet'))
    path = request.target.partition('?')[0]
    host = request.header('host').partition(':')[0].lower()
    route = intake.routes.find_route(host, path)
    if route is None:
        return _unknown(Reason.NOT_FOUND, f'{host}{path}', intake)
    if route.public or not table.requires_keys:
        return _make_work(request, route, None, intake)
    key = _key(request)
    if not is_confirmed(intake):
        return Error(
            not_run(Reason.UNCONFIRMED, 'keys could not be confirmed'),
        )
    account = intake.routes.find_account(key)
    if account is None:
        return _unknown(Reason.UNAUTHORIZED, 'key', intake)
    return _make_work(request, route, account, intake)


def check_key(work: Work, intake: Intake) -> Failure | None:
    """Return why a request may not be sent now, if its key is in doubt."""
    if not work.account:
        return None
    if not is_confirmed(intake):
        age = intake.routes.age_seconds()
        return not_run(Reason.UNCONFIRMED, f'keys confirmed {age:.1f} s ago')
    if intake.routes.find_account(work.key) is None:
        return not_run(Reason.UNAUTHORIZED, 'the key was taken away')
    return None


def is_confirmed(intake: Intake) -> bool:
    """Return whether the keys that are held are surely still valid."""
    age = intake.routes.age_seconds()
    return age <= intake.confirmed_within_seconds


def _unknown(
    reason: Reason,
    detail: str,
    intake: Intake,
) -> Result[Work, Failure]:
    """Refuse what isn't known; a newer configuration may know it."""
    if intake.routes.age_seconds() > intake.sure_within_seconds:
        return Error(not_run(Reason.UNCONFIRMED, f'unknown yet: {detail}'))
    return Error(not_run(reason, f'unknown: {detail}'))


def _make_work(
    request: Request,
    route: Route,
    account: Account | None,
    intake: Intake,
) -> Result[Work, Failure]:
    now = intake.clock()
    patience = _patience_seconds(request)
    if patience is None:
        return Error(not_run(Reason.BAD_REQUEST, 'deadline is no number'))
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return Ok(
        Work(
            request_id=request.header(REQUEST_ID),
            method=request.method,
            target=request.target,
            headers=_passed_headers(request.headers),
            body=request.body,
            route=route,
            service=_draw_service(route, intake.randomness),
            version=intake.routes.version,
            arrived_at=now,
            deadline=now + min(patience, route.timeout_seconds),
            account=account.name if account else '',
            key=_key(request) if account else '',
            priority=min(_PRIORITIES, max(0, priority)),
            size=_prompt_size(request.header(TOKENS)),
            last_event_id=_event_id(request.header(LAST_EVENT)),
        ),
    )


def _key(request: Request) -> str:
    given = request.header(KEY)
    if given[: len(_BEARER)].lower() != _BEARER:
        return ''
    return given[len(_BEARER) :].strip()


def _patience_seconds(request: Request) -> float | None:
    given = request.header(DEADLINE)
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
