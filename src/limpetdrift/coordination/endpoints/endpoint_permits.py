"""Permits calls to endpoints that limit their rate, as their decider.

All entries ask one of them, the planner of the endpoint's group, so that no
more calls are sent together than the endpoint takes. Calls that can't be held
back, such as the release of memory, are counted afterwards.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

from limpetdrift import telemetry
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_limits import UNTOLD_SECONDS, is_limited_as_cold
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.engine_usage import EngineUsage
from limpetdrift.state.rate_budget import RateBudgets, RetryTimes
from limpetdrift.verdict import Failure, Reason, not_run

UNLIMITED_CALLS = float('inf')

# Returns the share of an endpoint's limit that this entry may grant.
ShareOfLimit = Callable[[ListedEndpoint], float]


class EndpointPermits:
    """The budgets of endpoints with a limit, by what this entry knows.

    They are used only as far as other entries ask this one, or it plans by
    itself.
    """

    def __init__(
        self,
        *,
        view: EndpointView,
        clock: Callable[[], float],
        share_of: ShareOfLimit,
        randomness: Random,
    ) -> None:
        self._limits = view.limits
        self._share_of = share_of
        self._budgets = RateBudgets(clock=clock)
        self._retry_times = RetryTimes(clock=clock, randomness=randomness)

    def calls_left(self, endpoint: ListedEndpoint) -> float:
        """Return the calls that an endpoint may get now."""
        limits = self._limits
        if not limits.is_limited(endpoint.identity):
            return UNLIMITED_CALLS
        return self._budgets.calls_left(
            endpoint.identity,
            self._rate(endpoint),
            limits.limited_since(endpoint.identity),
        )

    def may_call(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint may get a call now."""
        return self.calls_left(endpoint) >= 1

    def may_try(self, endpoint: ListedEndpoint) -> bool:
        """Return whether a call is due that tells if a limit has ended.

        An endpoint with a limit of zero would else be lost for good. When a
        cold state ends is known.
        """
        limits = self._limits
        if is_limited_as_cold(limits, endpoint.identity):
            return False
        return limits.seconds_untold(endpoint.identity) >= UNTOLD_SECONDS

    def open_only(
        self, endpoints: tuple[ListedEndpoint, ...]
    ) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints that may get a call now."""
        if not self._limits:
            return endpoints
        return tuple(filter(self.may_call, endpoints))

    def unlimited_only(
        self, endpoints: tuple[ListedEndpoint, ...]
    ) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints without a limit."""
        return tuple(
            each
            for each in endpoints
            if not self._limits.is_limited(each.identity)
        )

    def with_calls_left(
        self, usages: tuple[EngineUsage, ...]
    ) -> tuple[EngineUsage, ...]:
        """Return the usages with the calls that the engines may get now."""
        if not self._limits:
            return usages
        return tuple(
            replace(usage, calls_left=self.calls_left(usage.endpoint))
            if self._limits.is_limited(usage.endpoint.identity)
            else usage
            for usage in usages
        )

    def take(self, endpoint: ListedEndpoint) -> bool:
        """Count a call; return whether the endpoint has a limit."""
        if not self._limits.is_limited(endpoint.identity):
            return False
        self._limits.record_call(endpoint.identity)
        self._budgets.forget_unless(self._limits.is_limited)
        self._budgets.take(endpoint.identity)
        return True

    def refuse(
        self, service: str, endpoints: Iterable[ListedEndpoint]
    ) -> Failure:
        """Return the refusal of a call that no endpoint may get now."""
        telemetry.count('refusals_by_rate_limit')
        rate = sum(map(self._rate, endpoints))
        return not_run(
            Reason.OVERLOADED,
            'rate limits of the endpoints are used up',
            retry_after_seconds=self._retry_times.next_seconds(service, rate),
        )

    def _rate(self, endpoint: ListedEndpoint) -> float:
        """Return the calls a second that this entry may grant."""
        limit = self._limits.rate_of(endpoint.identity)
        return limit * self._share_of(endpoint)
