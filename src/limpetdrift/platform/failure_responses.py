"""Turns failures into the answers that the platform's callers get.

Some statuses promise that the request has not run and never will; only a
failure with that proof gets one of them.
"""

from collections.abc import Callable
from random import Random

from limpetdrift.coordination.retry_policy import jittered_retry_after_seconds
from limpetdrift.protocol.verdict import Failure, Reason, Verdict
from limpetdrift.transport.messages import Response

_NOT_RUN = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.NOT_FOUND: 404,
}
_COME_BACK = 503
_BROKEN = 502
_TOO_LATE = 504
# Turns a failure into the answer that its caller gets.
RenderFailure = Callable[[Failure], Response]

_TIMEOUTS = frozenset((Reason.DEADLINE, Reason.TIMEOUT, Reason.IDLE_TIMEOUT))


def make_failure_renderer(randomness: Random) -> RenderFailure:
    """Return the function that renders failures."""

    def render(failure: Failure) -> Response:
        if failure.verdict is not Verdict.NOT_RUN:
            late = failure.reason in _TIMEOUTS
            return _response(_TOO_LATE if late else _BROKEN, failure)
        status = _NOT_RUN.get(failure.reason, _COME_BACK)
        if status != _COME_BACK:
            return _response(status, failure)
        seconds = jittered_retry_after_seconds(failure, randomness)
        return _response(status, failure, ('retry-after', f'{seconds:.3f}'))

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
