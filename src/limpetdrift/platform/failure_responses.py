"""Renders failures as responses to the platform's callers.

Some status codes promise that the request has not run and never will. Only
failures whose verdict is ``NOT_RUN`` get one of them.
"""

from collections.abc import Callable
from math import ceil
from random import Random

from limpetdrift.coordination.forwarding.retry_policy import (
    jittered_retry_after_seconds,
)
from limpetdrift.transport.messages import Response
from limpetdrift.verdict import Failure, Reason, Verdict

_NOT_RUN_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.NOT_FOUND: 404,
}
_SERVICE_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_MILLISECONDS = 1000
# Renders a failure as the response to the caller.
RenderFailure = Callable[[Failure], Response]

_TIMEOUT_REASONS = frozenset(
    (Reason.DEADLINE, Reason.TIMEOUT, Reason.IDLE_TIMEOUT)
)


def make_failure_renderer(randomness: Random) -> RenderFailure:
    """Return the function that renders failures.

    ``randomness`` spreads the retry-after times of refusals.
    """

    def render(failure: Failure) -> Response:
        if failure.verdict is not Verdict.NOT_RUN:
            is_timeout = failure.reason in _TIMEOUT_REASONS
            return _response(
                _GATEWAY_TIMEOUT if is_timeout else _BAD_GATEWAY, failure
            )
        status = _NOT_RUN_STATUSES.get(failure.reason, _SERVICE_UNAVAILABLE)
        if status != _SERVICE_UNAVAILABLE:
            return _response(status, failure)
        seconds = jittered_retry_after_seconds(failure, randomness)
        # Rounded up, so that it doesn't end before the time that it stands for.
        rounded = ceil(seconds * _MILLISECONDS) / _MILLISECONDS
        return _response(status, failure, ('retry-after', f'{rounded:.3f}'))

    return render


def _response(
    status: int,
    failure: Failure,
    *headers: tuple[str, str],
) -> Response:
    return Response(
        status=status,
        headers=(('content-type', 'text/plain'), *headers),
        body=f'{failure.reason}\n'.encode(),
    )
