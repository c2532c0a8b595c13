"""Failures, and verdicts on whether a failed request may have run.

Every failure in the system carries a verdict. ``NOT_RUN`` requires proof: the
request was never sent, the connection was refused before the first byte, or
the endpoint answered with a documented refusal.
"""

from dataclasses import dataclass, replace
from enum import StrEnum, unique
from typing import Annotated

from msgspec import Meta

DEFAULT_RETRY_AFTER_SECONDS = 1.0
# Longest time to retry after that a peer may name.
MAX_RETRY_AFTER_SECONDS = 86_400.0

RetryAfter = Annotated[float, Meta(ge=0, le=MAX_RETRY_AFTER_SECONDS)]


@unique
class Verdict(StrEnum):
    """Whether a failed request may have had an effect."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


@unique
class Reason(StrEnum):
    """Why a request failed or an attempt was abandoned.

    Each reason is a label value of metrics, so the set is fixed.
    """

    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not-found'
    METHOD_NOT_ALLOWED = 'method-not-allowed'
    UNKNOWN_MODEL = 'unknown-model'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    PARTITIONED = 'cut-off'
    UNCONFIRMED = 'configuration-unconfirmed'
    OVERLOADED = 'overloaded'
    RATE_LIMITED = 'rate-limited'
    CONCURRENCY_LIMITED = 'concurrency-limited'
    RETRY_BUDGET = 'retry-budget'
    NO_ENDPOINT = 'no-endpoint'
    NO_MEMORY = 'no-memory'
    ENDPOINT_LEAVING = 'endpoint-leaving'
    ENDPOINT_REFUSED = 'endpoint-refused'
    ENDPOINT_FAILED = 'endpoint-failed'
    ENDPOINT_UNAVAILABLE = 'endpoint-unavailable'
    SERVICE_BACK_OFF = 'service-back-off'
    PEER_FAILED = 'peer-failed'
    CONNECT_FAILED = 'connect-failed'
    CONNECT_TIMEOUT = 'connect-timeout'
    CONNECTION_BROKEN = 'connection-broken'
    IDLE_TIMEOUT = 'silent'
    TIMEOUT = 'timeout'
    BAD_ANSWER = 'bad-answer'
    QUARANTINED = 'quarantined'
    STORE_UNAVAILABLE = 'store-unavailable'
    STORE_RATE = 'store-rate'
    CLAIMED_ELSEWHERE = 'claimed-elsewhere'
    OWNER_UNREACHABLE = 'owner-unreachable'
    STREAM_UNKNOWN = 'stream-unknown'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    CANCELLED = 'cancelled'
    INTERNAL = 'internal'


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A failed request: its verdict, the reason, and when to retry.

    ``alternatives`` lists addresses of entries that may serve the request
    instead. ``retry_after_seconds`` is ``None`` if the failure names no time
    to retry here, for instance because that would be useless.
    ``is_retry_scheduled`` is set if that time was assigned to this caller
    alone, so that it needs no random factor.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ''
    retry_after_seconds: RetryAfter | None = None
    alternatives: tuple[str, ...] = ()
    is_retry_scheduled: bool = False

    def with_verdict(self, verdict: Verdict) -> 'Failure':
        """Return the same failure with another verdict."""
        return replace(self, verdict=verdict)


def not_run(
    reason: Reason,
    detail: str = '',
    *,
    retry_after_seconds: float | None = None,
    alternatives: tuple[str, ...] = (),
    is_retry_scheduled: bool = False,
) -> Failure:
    """Return a failure whose request is proved to have had no effect."""
    return Failure(
        verdict=Verdict.NOT_RUN,
        reason=reason,
        detail=detail,
        retry_after_seconds=retry_after_seconds,
        alternatives=alternatives,
        is_retry_scheduled=is_retry_scheduled,
    )


def may_have_run(
    reason: Reason,
    detail: str = '',
    *,
    retry_after_seconds: float | None = None,
) -> Failure:
    """Return a failure whose request may have had an effect."""
    return Failure(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=reason,
        detail=detail,
        retry_after_seconds=retry_after_seconds,
    )


class FailureError(Exception):
    """Carries a failure out of a generator, context manager or stream.

    Other functions return failures as the error of an ``expression`` result.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f'{failure.reason}: {failure.detail}')
        self.failure = failure
