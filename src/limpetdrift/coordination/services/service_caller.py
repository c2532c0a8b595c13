"""Serves calls to plain services: load balancing, retries and verdicts.

After a failure, a repeatable call is retried at another endpoint, within its
deadline and the retry budget. A call that isn't repeatable is retried only
while it is proved not to have run; with an idempotency key it runs under a
claim, and a resend gets the first answer.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import trio
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.coordination.services.service_messages import ServiceRequest
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.service import ServiceCall, ServiceCalls
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.service_balancer import ServiceBalancer
from limpetdrift.supervision import run_contained
from limpetdrift.transport.messages import Response
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    not_run,
)

# Attempts per call.
ATTEMPT_LIMIT = 4
# Retry interval after the first attempt, before jitter; it grows linearly.
RETRY_INTERVAL_SECONDS = 0.02
# Sent to callers as ``retry-after`` where a failure gives no time of its own.
RETRY_AFTER_SECONDS = 1.0
# Bounds of the random factor of each retry interval.
_JITTER = (0.5, 1.5)

# Reasons after which a call is not retried.
_FINAL_REASONS = frozenset(
    (
        Reason.CONFLICT,
        Reason.STORE_UNAVAILABLE,
        Reason.STORE_RATE,
        Reason.CLAIMED_ELSEWHERE,
        Reason.OWNER_UNREACHABLE,
        Reason.DEADLINE,
        Reason.NO_ENDPOINT,
    ),
)

CallOutcome = Result[Response, Failure]
Dispatch = Callable[[], Awaitable[CallOutcome]]


@dataclass(kw_only=True, slots=True)
class CallProgress:
    """The state of one call over its attempts.

    ``verdict`` says whether the call may have run in any attempt so far;
    ``excluded`` names the endpoints that failed it.
    """

    request: ServiceRequest
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    excluded: set[str] = field(default_factory=set)

    @property
    def stream_id(self) -> str:
        """The identifier of the current attempt."""
        handle = self.request.handle
        return f'{handle}.{self.attempts}'


CallOnce = Callable[[CallProgress, Endpoint, Dispatch], Awaitable[CallOutcome]]


async def refuse_call(
    progress: CallProgress,
    endpoint: Endpoint,
    dispatch: Dispatch,
) -> CallOutcome:
    """Refuse a call; replaces ``AtMostOnceCalls.run`` if there is no table."""
    return Error(
        not_run(Reason.STORE_UNAVAILABLE, 'no table service in the settings'),
    )


class ServiceCaller:
    """Serves calls to an answer or a failure by their deadline.

    ``call_once`` carries out an attempt of a call that is not repeatable and
    has an idempotency key.
    """

    def __init__(
        self,
        *,
        calls: ServiceCalls,
        endpoints: Callable[[], tuple[Endpoint, ...]],
        call_once: CallOnce,
        budget: RetryBudget,
        nursery: trio.Nursery,
        randomness: random.Random,
    ) -> None:
        self._calls = calls
        self._endpoints = endpoints
        self._call_once = call_once
        self._budget = budget
        self._nursery = nursery
        self._randomness = randomness
        self._balancer = ServiceBalancer(randomness=randomness)
        self._active = 0
        self._call_ended = trio.Event()

    @property
    def active(self) -> int:
        """The number of calls that have not ended."""
        return self._active

    async def wait_until_idle(self) -> None:
        """Wait until no call is active."""
        while self._active:
            await self._call_ended.wait()

    async def serve(self, request: ServiceRequest) -> CallOutcome:
        """Serve one call; a failure's verdict says whether it may have run."""
        self._budget.earn()
        progress = CallProgress(request=request)
        self._active += 1
        outcome: CallOutcome = Error(not_run(Reason.INTERNAL))
        try:
            outcome = await self._serve_until_deadline(progress)
        finally:
            self._end_call()
        reason = 'finished' if outcome.is_ok() else outcome.error.reason
        telemetry.count('service_calls', reason=reason)
        return outcome

    def _end_call(self) -> None:
        self._active -= 1
        self._call_ended.set()
        self._call_ended = trio.Event()

    async def _serve_until_deadline(
        self, progress: CallProgress
    ) -> CallOutcome:
        with trio.move_on_at(progress.request.deadline):
            return await self._attempt_until_ended(progress)
        return Error(
            Failure(
                verdict=progress.verdict,
                reason=Reason.DEADLINE,
                detail='the deadline passed',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            ),
        )

    async def _attempt_until_ended(self, progress: CallProgress) -> CallOutcome:
        while True:
            progress.attempts += 1
            outcome = await self._attempt(progress)
            if outcome.is_ok():
                return outcome
            final = self._final_failure(progress, outcome.error)
            if final is not None:
                return Error(final)
            telemetry.count('retries', reason=outcome.error.reason)
            jitter = self._randomness.uniform(*_JITTER)
            await trio.sleep(
                RETRY_INTERVAL_SECONDS * jitter * progress.attempts
            )

    async def _attempt(self, progress: CallProgress) -> CallOutcome:
        request = progress.request
        endpoint = self._choose(progress)
        if endpoint is None:
            return Error(not_run(Reason.NO_ENDPOINT, request.service))

        async def dispatch() -> CallOutcome:
            return await self._dispatch(progress, endpoint)

        if request.repeatable or not request.key:
            return await dispatch()
        return await self._call_once(progress, endpoint, dispatch)

    def _choose(self, progress: CallProgress) -> Endpoint | None:
        service = progress.request.service
        endpoints = tuple(
            endpoint
            for endpoint in self._endpoints()
            if endpoint.role is Role.SERVICE and endpoint.service == service
        )
        chosen = self._balancer.choose(endpoints, frozenset(progress.excluded))
        for endpoint in endpoints if chosen is None else (chosen,):
            self._schedule_load_read(endpoint)
        return chosen

    async def _dispatch(
        self, progress: CallProgress, endpoint: Endpoint
    ) -> CallOutcome:
        earlier_verdict = progress.verdict
        progress.verdict = Verdict.MAY_HAVE_RUN
        usage = self._balancer.of(endpoint)
        usage.in_flight += 1
        try:
            outcome = await self._calls.call(
                endpoint.address,
                _make_call(progress),
                timeout_seconds=progress.request.attempt_seconds,
            )
        finally:
            usage.in_flight -= 1
        if outcome.is_error():
            if outcome.error.verdict is Verdict.NOT_RUN:
                progress.verdict = earlier_verdict
            self._record_failure(progress, endpoint, outcome.error)
        return outcome

    def _record_failure(
        self,
        progress: CallProgress,
        endpoint: Endpoint,
        failure: Failure,
    ) -> None:
        progress.excluded.add(endpoint.name)
        usage = self._balancer.of(endpoint)
        if failure.reason is Reason.ENDPOINT_LEAVING:
            usage.mark_leaving()
        else:
            usage.mark_failing()

    def _final_failure(
        self,
        progress: CallProgress,
        failure: Failure,
    ) -> Failure | None:
        reported = _with_retry_after(replace(failure, verdict=progress.verdict))
        if failure.reason in _FINAL_REASONS:
            return reported
        may_have_run = progress.verdict is not Verdict.NOT_RUN
        if may_have_run and not progress.request.repeatable:
            return reported
        if progress.attempts >= ATTEMPT_LIMIT:
            return reported
        if not self._budget.spend():
            return replace(reported, reason=Reason.RETRY_BUDGET)
        return None

    def _schedule_load_read(self, endpoint: Endpoint) -> None:
        usage = self._balancer.of(endpoint)
        if usage.report_is_due:
            usage.read_started_at = trio.current_time()
            self._balancer.forget_others(self._endpoints())
            self._nursery.start_soon(
                run_contained, 'load-read', self._read_load, endpoint
            )

    async def _read_load(self, endpoint: Endpoint) -> None:
        load = await self._calls.load(endpoint.address)
        if load.is_ok():
            self._balancer.of(endpoint).apply_report(load.ok)


def _make_call(progress: CallProgress) -> ServiceCall:
    return ServiceCall(
        request_key=progress.request.handle,
        attempt=progress.attempts,
        request=progress.request.request,
    )


def _with_retry_after(failure: Failure) -> Failure:
    if failure.retry_after_seconds is not None:
        return failure
    if failure.reason is Reason.CONFLICT:
        return failure
    return replace(failure, retry_after_seconds=RETRY_AFTER_SECONDS)
