"""Decides what is sent to endpoints by what their answers signalled.

An endpoint that leaves says so in any of its answers, often before the
platform's list does. One that turns a request away may name a time in which
this entry must send it no requests and no polls.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique
from functools import partial

from limpetdrift import telemetry
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    ListedEndpoint,
)
from limpetdrift.state.cold_endpoints import SAME_END_SECONDS
from limpetdrift.state.endpoint_limits import UNTOLD_SECONDS, is_limited_as_cold
from limpetdrift.state.endpoint_view import ANSWER_SOURCE, EndpointView
from limpetdrift.verdict import Failure, Reason, not_run


@unique
class CallKind(StrEnum):
    """The kinds of requests that an entry sends to endpoints."""

    REQUEST = 'request'
    REPORT = 'report'
    ORDER = 'order'


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointSignals:
    """What an answer says about the endpoint apart from the request.

    ``leaving`` means that this lifetime takes no new work, and
    ``back_off_seconds`` is the time in which it takes nothing from this entry.
    ``rate_limit`` is the number of requests a second that it takes from all
    entries together, ``None`` if the answer tells nothing of it.
    ``cold_seconds`` is for how much longer it is cold, 0 if it isn't or does
    not say.
    """

    leaving: bool = False
    back_off_seconds: float = 0.0
    rate_limit: float | None = None
    cold_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointGate:
    """The functions that decide on sends and take the endpoints' answers.

    ``apply_signals`` gets the signals of each answer of an endpoint.
    ``check_call`` returns why an endpoint must get nothing now, ``check_send``
    why a request must not be sent as placed, and ``check_service`` why one
    must not be placed at all; all return ``None`` if nothing is against it.
    ``is_limited`` returns whether an endpoint limits its rate. ``may_poll``
    returns whether a report may be polled; it then counts as sent.
    ``record_full`` is called when an engine has turned a planned request away,
    ``record_order`` is called right before an order is sent, and
    ``record_success`` when a request has succeeded.
    """

    apply_signals: Callable[[ListedEndpoint, EndpointSignals], None]
    check_call: Callable[[ListedEndpoint], Failure | None]
    check_send: Callable[[CallerRequest, DispatchPlan], Failure | None]
    check_service: Callable[[str], Failure | None]
    is_limited: Callable[[ListedEndpoint], bool]
    record_full: Callable[[ListedEndpoint], None]
    may_poll: Callable[[ListedEndpoint], bool]
    record_order: Callable[[ListedEndpoint], None]
    record_success: Callable[[CallerRequest, DispatchPlan], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class Announcements:
    """The functions that tell other entries of endpoints.

    ``leaving`` tells that an endpoint leaves, and ``limit`` that it changed its
    rate limit. ``full`` tells that an engine turned a planned request away.
    ``call_spent`` tells of a call to an endpoint with a limit that was sent
    without a permit.
    """

    leaving: Callable[[ListedEndpoint], None]
    limit: Callable[[ListedEndpoint], None]
    full: Callable[[ListedEndpoint], None]
    call_spent: Callable[[ListedEndpoint], None]


def make_gate(
    view: EndpointView,
    announcements: Announcements,
) -> EndpointGate:
    """Return the gate to the endpoints of a view.

    The endpoint of an answer is the one to which the request was sent, so that
    an answer of an earlier lifetime does not affect a later one.
    """

    def apply_signals(
        endpoint: ListedEndpoint, signals: EndpointSignals
    ) -> None:
        if signals.leaving and view.mark_leaving(endpoint, ANSWER_SOURCE):
            announcements.leaving(endpoint)
        if signals.back_off_seconds > 0:
            view.back_offs.extend(endpoint, signals.back_off_seconds)
        rate = signals.rate_limit
        if rate is not None and view.limits.name(endpoint, rate):
            announcements.limit(endpoint)
        cold_seconds = signals.cold_seconds
        if cold_seconds > 0 and view.limits.cold.extend(endpoint, cold_seconds):
            announcements.limit(endpoint)

    return EndpointGate(
        apply_signals=apply_signals,
        check_call=partial(check_call, view),
        check_send=partial(check_send, view, announcements),
        check_service=partial(check_service, view),
        is_limited=lambda endpoint: view.limits.is_limited(endpoint.identity),
        record_full=announcements.full,
        may_poll=partial(may_poll, view, announcements.call_spent),
        record_order=partial(record_order, view, announcements.call_spent),
        record_success=partial(record_success, view),
    )


def check_call(view: EndpointView, endpoint: ListedEndpoint) -> Failure | None:
    """Refuse a call to an endpoint during its back-off."""
    if view.back_offs.seconds_left(endpoint.identity) > 0:
        detail = f'{endpoint.name} asked for a back-off'
        return not_run(Reason.ENDPOINT_UNAVAILABLE, detail)
    return None


def check_send(
    view: EndpointView,
    announcements: Announcements,
    work: CallerRequest,
    placement: DispatchPlan,
) -> Failure | None:
    """Refuse a request one of whose endpoints must get no part of it now."""
    for helper in placement.endpoints[1:]:
        if not view.is_usable(helper):
            detail = f'{helper.name} is leaving or gone'
            return not_run(Reason.ENDPOINT_UNAVAILABLE, detail)
    refusal = _check_permits(view, announcements, placement)
    if refusal is not None:
        return refusal
    back_offs = view.back_offs
    if not back_offs or back_offs.admit(
        placement.identities, _name(work, placement)
    ):
        return None
    names = ' '.join(each.name for each in placement.endpoints)
    return not_run(
        Reason.ENDPOINT_UNAVAILABLE, f'one of {names} asked for a back-off'
    )


def _check_permits(
    view: EndpointView, announcements: Announcements, placement: DispatchPlan
) -> Failure | None:
    """Refuse a request to an endpoint that named a limit after its placement.

    Another endpoint may take it, or the decider may permit it then. The decider
    may also not know yet that an endpoint is cold, so it is told of that.
    """
    if not view.limits:
        return None
    for endpoint in placement.endpoints:
        is_limited = view.limits.is_limited(endpoint.identity)
        if not is_limited or endpoint.identity in placement.permitted:
            continue
        if not _may_send_unpermitted(view, announcements, endpoint):
            detail = f'{endpoint.name} limits its rate'
            return not_run(Reason.ENDPOINT_UNAVAILABLE, detail)
    _count_call(view, placement.endpoint, CallKind.REQUEST)
    return None


def _may_send_unpermitted(
    view: EndpointView,
    announcements: Announcements,
    endpoint: ListedEndpoint,
) -> bool:
    """Return whether a request may be sent without a permit.

    Not to an endpoint that named a lower limit. To a cold one, if it will be
    warm within the time by which entries differ on that, or if the planner,
    that doesn't know of it, has no other endpoint left: a request that runs
    out of placements would fail.
    """
    limits = view.limits
    cold = limits.cold.limit_of(endpoint.identity)
    if cold is None or cold.rate > limits.rate_of(endpoint.identity):
        return False
    if cold.seconds_left < SAME_END_SECONDS:
        return True
    announcements.limit(endpoint)
    others = view.usable(endpoint.service)
    if not all(limits.is_limited(each.identity) for each in others):
        return False
    if not limits.cold.take_unpermitted(endpoint.identity):
        return False
    announcements.call_spent(endpoint)
    return True


def check_service(view: EndpointView, service: str) -> Failure | None:
    """Refuse a request while no endpoint of its service may be chosen.

    Callers learn at once when the first endpoint's back-off ends, rather than
    wait for it here until their deadline.
    """
    seconds = view.back_offs.seconds_until_open(view.usable(service))
    if seconds is None:
        return None
    return not_run(
        Reason.SERVICE_BACK_OFF, service, retry_after_seconds=seconds
    )


def may_poll(
    view: EndpointView,
    spend: Callable[[ListedEndpoint], None],
    endpoint: ListedEndpoint,
) -> bool:
    """Return whether an endpoint's report may be polled now, and count it.

    While an endpoint names a limit, its answers to requests tell as much.
    It is polled only if there were none for a while, since an endpoint that
    gets nothing can't say that its limit has ended. When a cold state ends is
    known, so polls of a cold endpoint only count.
    """
    limits = view.limits
    if not limits.is_limited(endpoint.identity):
        return True
    is_told = limits.seconds_untold(endpoint.identity) < UNTOLD_SECONDS
    if is_told and not is_limited_as_cold(limits, endpoint.identity):
        return False
    _count_call(view, endpoint, CallKind.REPORT)
    spend(endpoint)
    return True


def record_order(
    view: EndpointView,
    spend: Callable[[ListedEndpoint], None],
    endpoint: ListedEndpoint,
) -> None:
    """Count an order, which is sent in any case."""
    if view.limits.is_limited(endpoint.identity):
        _count_call(view, endpoint, CallKind.ORDER)
        spend(endpoint)


def _count_call(
    view: EndpointView, endpoint: ListedEndpoint, kind: CallKind
) -> None:
    """Count a call in the metrics if its endpoint limits its rate."""
    if view.limits.is_limited(endpoint.identity):
        telemetry.count('calls_to_limited_endpoints', kind=kind)


def begin_placement(
    view: EndpointView, work: CallerRequest, placement: DispatchPlan
) -> None:
    """Count a placed request in flight where that is limited."""
    if view.back_offs:
        view.back_offs.begin(placement.identities, _name(work, placement))


def end_placement(
    view: EndpointView, work: CallerRequest, placement: DispatchPlan
) -> None:
    """Count a request in flight no longer."""
    if view.back_offs:
        view.back_offs.end(placement.identities, _name(work, placement))


def record_success(
    view: EndpointView, work: CallerRequest, placement: DispatchPlan
) -> None:
    """Lift the limits under which a request began that has succeeded."""
    if view.back_offs:
        view.back_offs.record_success(
            placement.identities, _name(work, placement)
        )


def _name(work: CallerRequest, placement: DispatchPlan) -> str:
    """Return the name under which a placement counts as in flight."""
    return placement.grant or f'{work.request_id}/{placement.number}'
