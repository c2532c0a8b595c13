"""Decides whether a prompt is admitted with the engines chosen for it.

Answers demand beyond what the engines can prefill: prompts that would time out
while they wait are refused at once, with a time to retry. While prompts are
late or refused, accounts above their fair share get only what is on time and
leaves some slots free, so that the others don't queue behind them.
"""

import math
from collections.abc import Callable
from random import Random

from limpetdrift.coordination.engines.prompt_splitting import (
    Split,
)
from limpetdrift.coordination.engines.split_costs import (
    queue_seconds,
)
from limpetdrift.coordination.scheduling.admission_records import (
    Refusal,
    count_decision,
    log_refusal,
)
from limpetdrift.coordination.scheduling.contention import (
    AskedPrompt,
    PoolState,
    is_above_share,
)
from limpetdrift.coordination.scheduling.returns import (
    MIN_RETRY_AFTER_SECONDS,
    Pool,
    PoolLoad,
    RefusedPrompt,
    ReturnSchedule,
    Standing,
)
from limpetdrift.coordination.scheduling.shares import (
    decay,
    engine_seconds,
)
from limpetdrift.coordination.scheduling.time_limits import latest_first_token
from limpetdrift.protocol.plans import PlanRequest, UsageReport
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.state.engine_usage import EngineUsage
from limpetdrift.verdict import Failure, Reason, not_run

# Longest wait of a prompt of an account above its share, as a share of the
# shortest target of the prompts that are late. Longer waits of such prompts
# make short prompts of the other accounts late.
_REMAINING_WAIT_SHARE = 0.25


class Admission:
    """Admits or refuses prompts, and charges their accounts.

    Usage and retry times are kept for each service and group. ``clock``
    returns seconds. ``randomness`` spreads the retry times of refused callers.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        find_cost_model: Callable[[str], EngineCostModel | None],
        randomness: Random,
    ) -> None:
        self._clock = clock
        self._find_cost_model = find_cost_model
        self._states: dict[Pool, PoolState] = {}
        self._returns = ReturnSchedule(randomness=randomness)

    def find_refusal(
        self,
        split: Split | None,
        usages: tuple[EngineUsage, ...],
        request: PlanRequest,
    ) -> Failure | None:
        """Return why a prompt is refused, or ``None`` if it is admitted.

        Refused are also prompts for which no memory is free: it is taken for
        seconds, so another try at once would fail, too.
        """
        asked = self._describe(usages, request)
        refusal = self._decide(split, asked)
        if refusal is Refusal.COST:
            return not_run(
                Reason.OVERLOADED,
                refusal,
                retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
            )
        if refusal or is_late(split, request):
            asked.state.record_contention(request.target_seconds, asked.now)
        count_decision(refusal, asked)
        if refusal is None:
            self._returns.record_admitted(asked.prompt, asked.load, asked.now)
            return None
        retry_after = self._retry_after(asked)
        log_refusal(refusal, asked, retry_after)
        return not_run(
            Reason.OVERLOADED,
            refusal,
            retry_after_seconds=retry_after,
            is_retry_scheduled=True,
        )

    def charge(self, request: PlanRequest, age_seconds: float = 0.0) -> None:
        """Charge an account for a plan that was made ``age_seconds`` ago."""
        self._state(_pool_of(request)).used.charge(
            request.account,
            self.engine_seconds(request) * decay(age_seconds),
            self._clock(),
            request.entry,
        )

    def merge_report(self, report: UsageReport) -> None:
        """Take over an entry's charges from a report on its plans."""
        by_service: dict[str, dict[str, float]] = {}
        for each in report.accounts:
            charges = by_service.setdefault(each.service, {})
            charges[each.account] = each.engine_seconds
        for service, charges in by_service.items():
            self._state((service, report.group)).used.replace(
                report.entry, charges, self._clock()
            )

    def used_seconds(self, pool: Pool) -> dict[str, float]:
        """Return the decayed engine seconds charged to active accounts."""
        return self._state(pool).used.by_account(self._clock())

    def share_used(self, request: PlanRequest) -> float:
        """Return the share of the charges that a request's account has."""
        used = self.used_seconds(_pool_of(request))
        return used.get(request.account, 0.0) / (sum(used.values()) or 1.0)

    def engine_seconds(self, request: PlanRequest) -> float:
        """Return the engine time of a prompt, 0 without a cost model."""
        cost_model = self._find_cost_model(request.service)
        return engine_seconds(request, cost_model) if cost_model else 0

    def _decide(
        self, split: Split | None, asked: AskedPrompt
    ) -> Refusal | None:
        request = asked.request
        if split is None:
            return Refusal.MEMORY
        goes_first = self._returns.may_go_first(
            asked.prompt, asked.load, asked.now
        )
        due = 0 if goes_first else self._due_seconds(asked)
        cost_model = self._find_cost_model(request.service)
        latest = latest_first_token(request, due, cost_model)
        if split.first_token_seconds > latest:
            return Refusal.TOO_LATE
        if split.cost > request.cost_limit:
            return Refusal.COST
        if goes_first or request.is_admitted:
            return None
        if not asked.state.is_contended(asked.now):
            return None
        if self._has_room(split, asked) or not is_above_share(asked):
            return None
        return Refusal.SHARE

    def _has_room(self, split: Split, asked: AskedPrompt) -> bool:
        """Return whether a plan fits into what accounts below theirs leave.

        Slots that are free beyond those kept for these accounts may be used by
        any prompt.
        """
        cost_model = self._find_cost_model(asked.request.service)
        if cost_model is None:
            return True
        wait = wait_seconds(split, cost_model)
        if wait <= 0:
            return asked.load.spare_slots > 0
        most = asked.target_seconds * _REMAINING_WAIT_SHARE
        return wait <= most and not is_late(split, asked.request)

    def _due_seconds(self, asked: AskedPrompt) -> float:
        return self._returns.due_seconds(
            asked.prompt.pool, asked.load, asked.now
        )

    def _retry_after(self, asked: AskedPrompt) -> float:
        """Return when a refused caller should retry, and record its demand.

        The caller gets the refusal of its home group. Another one that was
        asked after it assigns no retry time. A caller that returned early
        asks for nothing that hasn't been recorded.
        """
        if not is_asked_first(asked.request):
            return max(MIN_RETRY_AFTER_SECONDS, asked.load.backlog_seconds)
        if asked.standing is not Standing.EARLY:
            asked.state.refused.charge(
                asked.request.account, asked.prompt.engine_seconds, asked.now
            )
        return self._returns.assign(asked.prompt, asked.load, asked.now)

    def _describe(
        self, usages: tuple[EngineUsage, ...], request: PlanRequest
    ) -> AskedPrompt:
        now = self._clock()
        cost_model = self._find_cost_model(request.service)
        prompt = RefusedPrompt(
            pool=_pool_of(request),
            fingerprint=request.fingerprint,
            engine_seconds=self.engine_seconds(request),
            seconds_left=request.seconds_left,
        )
        return AskedPrompt(
            request=request,
            prompt=prompt,
            standing=self._returns.standing(prompt, now),
            state=self._state(prompt.pool),
            load=PoolLoad(
                engines=sum(1 / max(1, usage.pace) for usage in usages),
                backlog_seconds=_mean_wait(usages, cost_model),
                spare_slots=_spare_slots(usages, cost_model),
            ),
            now=now,
        )

    def _state(self, pool: Pool) -> PoolState:
        return self._states.setdefault(pool, PoolState())


def is_late(split: Split | None, request: PlanRequest) -> bool:
    """Return whether a plan's first token is expected after its target."""
    if split is None:
        return True
    return split.first_token_seconds > request.target_seconds


def wait_seconds(split: Split, cost_model: EngineCostModel) -> float:
    """Return how long a plan waits for prefill and streams of others."""
    engines = (split.writer, *split.helpers)
    waits = (usage.wait_seconds(split.part_seconds) for usage in engines)
    return max(waits) + queue_seconds(split.writer, cost_model)


def is_asked_first(request: PlanRequest) -> bool:
    """Return whether the group asked is in the entry's failure domain."""
    return request.group.failure_domain in {'', request.failure_domain}


def _mean_wait(
    usages: tuple[EngineUsage, ...], cost_model: EngineCostModel | None
) -> float:
    """Return the mean time until engines are done with prefill and queue."""
    waits = [usage.backlog_seconds for usage in usages]
    if cost_model is not None:
        waits += [queue_seconds(usage, cost_model) for usage in usages]
    return sum(waits) / len(usages)


def _spare_slots(
    usages: tuple[EngineUsage, ...], cost_model: EngineCostModel | None
) -> float:
    """Return how many slots are free beyond those kept as a reserve.

    The number of streams fluctuates by about the square root of its mean. If an
    account above its share took the last free slots, prompts of the others
    would wait for one whenever some more than usual come.
    """
    if cost_model is None:
        return math.inf
    slots = cost_model.slots * len(usages)
    taken = sum(min(usage.streams, cost_model.slots) for usage in usages)
    return slots - taken - math.sqrt(slots)


def _pool_of(request: PlanRequest) -> Pool:
    return request.service, request.group
