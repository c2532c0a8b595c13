"""Decides whether a failed attempt is retried, and how long one may take.

The functions keep no state; they decide by the route, the failure, the number
of attempts and the time left.
"""

from random import Random

from limpetdrift.protocol.route_table import RequestKind, Route
from limpetdrift.verdict import Failure, Reason, Verdict

# Minimum time left for another attempt; with less, it cannot end before the
# deadline.
MIN_ATTEMPT_SECONDS = 0.03
# Share of the remaining time for one attempt while another may follow.
_ATTEMPT_TIME_SHARE = 0.4
# A stream is tried elsewhere, too, if its first event takes longer than the
# expected time, times the factor, plus the margin. Clients disconnect after two
# seconds without an event.
_FIRST_EVENT_MARGIN_SECONDS = 0.9
_FIRST_EVENT_FACTOR = 1.5
# Time from the reservation of memory to the first event, after which an engine
# is taken for one that won't use the memory. A reservation lasts 3.2 s: even if
# its release gets no answer, it ends within the 9 s that the platform allows.
_UNUSED_MEMORY_SECONDS = 5.5
# Idle timeout of a begun stream, as a multiple of the longest pause that the
# route allows, and its lower bound. After it another engine is tried as well.
_IDLE_TIMEOUT_FACTOR = 3.0
_MIN_IDLE_TIMEOUT_SECONDS = 1.2

# Retry-after of refusals that carry no estimate, and the bounds of its random
# factor, which keeps refused callers from returning at the same time.
FALLBACK_RETRY_AFTER_SECONDS = 0.4
_RETRY_AFTER_JITTER = (0.6, 1.4)
# The factor's bounds where a retry before the estimate would be refused again.
_LATER_RETRY_JITTER = (1.0, 1.8)

_SERVER_ERROR = 500
_FINAL_REASONS = frozenset(
    (
        Reason.DEADLINE,
        Reason.OVERLOADED,
        Reason.UNCONFIRMED,
        Reason.UNAUTHORIZED,
        Reason.NOT_FOUND,
        Reason.QUARANTINED,
        Reason.NO_ENDPOINT,
        Reason.SERVICE_BACK_OFF,
        Reason.RETRY_BUDGET,
    ),
)


def may_repeat(
    route: Route,
    failure: Failure,
    *,
    attempts: int,
    seconds_left: float,
) -> bool:
    """Return whether another endpoint may get the request after a failure.

    This handles endpoints that die, refuse or fail: a request that is proved
    not to have run is sent again, one that may have run only if it is
    repeatable. ``attempts`` does not count refused connections.
    """
    if failure.reason in _FINAL_REASONS or seconds_left < MIN_ATTEMPT_SECONDS:
        return False
    if attempts >= route.attempt_limit:
        return False
    return failure.verdict is Verdict.NOT_RUN or route.repeatable


def attempt_timeout_seconds(
    route: Route,
    *,
    attempts: int,
    seconds_left: float,
) -> float:
    """Return after what time a call that is not streamed is tried elsewhere.

    This handles endpoints that accept a request and never answer: the timeout
    of a repeatable request leaves time for a second endpoint.
    """
    if not route.repeatable or attempts + 1 >= route.attempt_limit:
        return seconds_left
    timeout = max(2 * route.target_seconds, _ATTEMPT_TIME_SHARE * seconds_left)
    return min(seconds_left, timeout)


def first_event_timeout_seconds(
    route: Route,
    *,
    attempts: int,
    expected_seconds: float,
    seconds_left: float,
) -> float:
    """Return the timeout for the first event of a stream.

    This handles engines that stop responding during prefill: the timeout
    follows ``expected_seconds``, the planned time from sending the request to
    its first event.
    """
    if not route.repeatable or attempts + 1 >= route.attempt_limit:
        return seconds_left
    timeout = (
        expected_seconds * _FIRST_EVENT_FACTOR + _FIRST_EVENT_MARGIN_SECONDS
    )
    return min(seconds_left, timeout)


def unused_memory_timeout_seconds(expected_seconds: float) -> float:
    """Return how long memory is kept for an engine without a first event.

    This handles engines that accept a prompt and never read it, also if no
    other may be tried: the memory of its helpers would be kept from all others
    until the deadline. ``expected_seconds`` is the planned time to the event.

    >>> unused_memory_timeout_seconds(2.0)
    5.5
    """
    return max(
        _UNUSED_MEMORY_SECONDS,
        expected_seconds * _FIRST_EVENT_FACTOR + _FIRST_EVENT_MARGIN_SECONDS,
    )


def stream_idle_timeout_seconds(
    route: Route,
    *,
    attempts: int,
    seconds_left: float,
    may_retry: bool,
) -> float:
    """Return the idle timeout of a stream that has begun.

    A stream that cannot continue on another endpoint is kept to its deadline.
    """
    if not (may_retry and route.repeatable):
        return seconds_left
    if attempts >= route.attempt_limit:
        return seconds_left
    timeout = max(
        _IDLE_TIMEOUT_FACTOR * route.pause_seconds, _MIN_IDLE_TIMEOUT_SECONDS
    )
    return min(seconds_left, timeout)


def jittered_retry_after_seconds(failure: Failure, randomness: Random) -> float:
    """Return the seconds after which a refused caller should retry.

    When many callers are refused at once, their retries are spread over time.
    Scheduled ones are spread already.
    """
    retry_after = failure.retry_after_seconds or FALLBACK_RETRY_AFTER_SECONDS
    if failure.is_retry_scheduled:
        return retry_after
    jitter = _RETRY_AFTER_JITTER
    if failure.reason is Reason.SERVICE_BACK_OFF:
        jitter = _LATER_RETRY_JITTER
    return retry_after * randomness.uniform(*jitter)


def is_failure_of_endpoint(route: Route, status: int) -> bool:
    """Return whether to try another endpoint because of this status.

    An endpoint that fails some requests answers them with a 5xx status of its
    own. Another endpoint may succeed, if the request may run twice.
    """
    is_idempotent = route.kind is RequestKind.IDEMPOTENT
    return status >= _SERVER_ERROR and (is_idempotent or route.repeatable)
