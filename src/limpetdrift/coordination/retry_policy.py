"""Decides whether a failed attempt is made again, and how long one may take.

All functions are plain: they see the work, what is known and the time left.
"""

from random import Random

from limpetdrift.protocol.route_table import RequestKind, Route
from limpetdrift.protocol.verdict import Failure, Reason, Verdict

# Under this many seconds another attempt can't end in time.
LEAST_SECONDS = 0.03
# Share of the time left that an attempt gets while another may follow.
_ATTEMPT_SHARE = 0.4
# A stream may start this much later than its reading should take before it
# is tried elsewhere. Clients leave after two seconds without an event.
_START_SLACK_SECONDS = 0.9
_START_SLACK_SHARE = 1.5
# Pauses this many times over the route's bound are taken for a dead engine.
_PAUSE_SHARE = 3.0
_PAUSE_SECONDS_LIMIT = 1.2

# Callers that are turned away without a better estimate come back after so
# long; the spread keeps them from coming back together.
RETURN_SECONDS = 0.4
_RETURN_SPREAD = (0.6, 1.4)

_SERVER_ERROR = 500
_FINAL = frozenset(
    (
        Reason.DEADLINE,
        Reason.OVERLOADED,
        Reason.UNCONFIRMED,
        Reason.UNAUTHORIZED,
        Reason.NOT_FOUND,
        Reason.QUARANTINED,
        Reason.NO_ENDPOINT,
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

    Answers a load in which some endpoints die, refuse or fail: what is
    proved not to have run goes on, what may have run only if it is
    repeatable. Attempts that found nobody listening don't count.
    """
    if failure.reason in _FINAL or seconds_left < LEAST_SECONDS:
        return False
    if attempts >= route.attempt_limit:
        return False
    return failure.verdict is Verdict.NOT_RUN or route.repeatable


def attempt_seconds(
    route: Route,
    *,
    attempts: int,
    seconds_left: float,
) -> float:
    """Return how long one attempt of a plain call may take.

    Answers endpoints that take a request and never answer: one that may be
    repeated keeps time for a second endpoint.
    """
    if not route.repeatable or attempts + 1 >= route.attempt_limit:
        return seconds_left
    wanted = max(2 * route.target_seconds, _ATTEMPT_SHARE * seconds_left)
    return min(seconds_left, wanted)


def start_seconds(
    route: Route,
    *,
    attempts: int,
    read_seconds: float,
    seconds_left: float,
) -> float:
    """Return how long to wait for the first event of a stream.

    Answers engines that went silent with the prompt: the wait follows the
    time that the prompt should take to read.
    """
    if not route.repeatable or attempts + 1 >= route.attempt_limit:
        return seconds_left
    wanted = read_seconds * _START_SLACK_SHARE + _START_SLACK_SECONDS
    return min(seconds_left, wanted)


def stream_idle_timeout_seconds(
    route: Route,
    *,
    attempts: int,
    seconds_left: float,
    may_retry: bool,
) -> float:
    """Return how long a stream that has begun may pause.

    One that can't go on elsewhere is never given up before its deadline.
    """
    if not (may_retry and route.repeatable):
        return seconds_left
    if attempts >= route.attempt_limit:
        return seconds_left
    wanted = max(_PAUSE_SHARE * route.pause_seconds, _PAUSE_SECONDS_LIMIT)
    return min(seconds_left, wanted)


def jittered_retry_after_seconds(failure: Failure, randomness: Random) -> float:
    """Return when a caller that was refused should come back.

    Answers many who are refused at once: they come back spread over time.
    """
    pause = failure.retry_after_seconds or RETURN_SECONDS
    return pause * randomness.uniform(*_RETURN_SPREAD)


def is_failure_of_endpoint(route: Route, status: int) -> bool:
    """Return whether an answer is worth asking another endpoint.

    An endpoint that fails some requests answers with a 5xx of its own; the
    next one may do better, if the request may run twice.
    """
    plain = route.kind is RequestKind.IDEMPOTENT
    return status >= _SERVER_ERROR and (plain or route.repeatable)
