"""Decides whether a prompt is admitted with the engines chosen for it.

Answers demand beyond what the engines can prefill: prompts that would time out
while they wait are refused at once, with a time to retry. While prompts are
late or refused, accounts above their fair share get only what is on time, so
that the others don't queue behind them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from random import Random

from limpetdrift import telemetry
from limpetdrift.coordination.engines.prompt_splitting import (
    Split,
)
from limpetdrift.coordination.engines.split_costs import (
    queue_seconds,
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
    AccountShare,
    AccountUse,
    DecayedUsage,
    decay,
    delivered_seconds,
    divide,
    engine_seconds,
    is_capacity_enough,
)
from limpetdrift.coordination.scheduling.time_limits import latest_first_token
from limpetdrift.logs import note
from limpetdrift.protocol.plans import PlanRequest, UsageReport
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.state.engine_usage import EngineUsage

# Longest wait of a prompt of an account above its share, as a share of the
# shortest target of the prompts that are late. Longer waits of such prompts
# make short prompts of the other accounts late.
_REMAINING_WAIT_SHARE = 0.25
# Contention lasts this long after a prompt was late or refused. It is several
# times the interval between prompts of a busy service.
CONTENTION_SECONDS = 1.0
# Priorities below this one are counted as this one.
_LOWEST_PRIORITY = 9
_MILLISECONDS = 1000


@unique
class Refusal(StrEnum):
    """Why a prompt is refused; each is a label value of metrics."""

    MEMORY = 'memory of the engines is taken'
    TOO_LATE = 'would begin too late'
    COST = 'no better plan than another group has made'
    SHARE = 'the account is above its share'


@dataclass(kw_only=True, slots=True)
class _PoolState:
    """What one pool of engines admitted and refused, by account.

    ``least_target_seconds`` is the shortest target of the prompts that were
    late or refused since the contention began.
    """

    used: DecayedUsage = field(default_factory=DecayedUsage)
    refused: DecayedUsage = field(default_factory=DecayedUsage)
    contended_at: float = float('-inf')
    least_target_seconds: float = float('inf')

    def is_contended(self, now: float) -> bool:
        """Return whether a prompt was late or refused lately."""
        return now - self.contended_at <= CONTENTION_SECONDS

    def record_contention(self, target_seconds: float, now: float) -> None:
        """Record that a prompt with this target is late or refused."""
        if self.is_contended(now):
            target_seconds = min(target_seconds, self.least_target_seconds)
        self.least_target_seconds = target_seconds
        self.contended_at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class _Asked:
    """A request, and what its pool has at the moment."""

    request: PlanRequest
    prompt: RefusedPrompt
    standing: Standing
    state: _PoolState
    load: PoolLoad
    now: float

    @property
    def target_seconds(self) -> float:
        """The shortest target of this prompt and of those that were late."""
        return min(self.request.target_seconds, self.state.least_target_seconds)


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
        self._states: dict[Pool, _PoolState] = {}
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
        _count_decision(refusal, asked)
        if refusal is None:
            self._returns.record_admitted(asked.prompt, asked.load, asked.now)
            return None
        retry_after = self._retry_after(asked)
        _log_refusal(refusal, asked, retry_after)
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

    def _decide(self, split: Split | None, asked: _Asked) -> Refusal | None:
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
        if self._has_room(split, asked) or not _is_above_share(asked):
            return None
        return Refusal.SHARE

    def _has_room(self, split: Split, asked: _Asked) -> bool:
        """Return whether a plan fits into what accounts below theirs leave.

        Engines that are idle may be used by any prompt.
        """
        cost_model = self._find_cost_model(asked.request.service)
        if cost_model is None:
            return True
        wait = wait_seconds(split, cost_model)
        if wait <= 0:
            return True
        most = asked.target_seconds * _REMAINING_WAIT_SHARE
        return wait <= most and not is_late(split, asked.request)

    def _due_seconds(self, asked: _Asked) -> float:
        return self._returns.due_seconds(
            asked.prompt.pool, asked.load, asked.now
        )

    def _retry_after(self, asked: _Asked) -> float:
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
    ) -> _Asked:
        now = self._clock()
        prompt = RefusedPrompt(
            pool=_pool_of(request),
            fingerprint=request.fingerprint,
            engine_seconds=self.engine_seconds(request),
            seconds_left=request.seconds_left,
        )
        return _Asked(
            request=request,
            prompt=prompt,
            standing=self._returns.standing(prompt, now),
            state=self._state(prompt.pool),
            load=PoolLoad(
                engines=sum(1 / max(1, usage.pace) for usage in usages),
                backlog_seconds=_mean_wait(
                    usages, self._find_cost_model(request.service)
                ),
            ),
            now=now,
        )

    def _state(self, pool: Pool) -> _PoolState:
        return self._states.setdefault(pool, _PoolState())


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


def _uses(asked: _Asked) -> dict[str, AccountUse]:
    """Return what the active accounts asked for, those with refusals too."""
    used = asked.state.used.by_account(asked.now)
    refused = asked.state.refused.by_account(asked.now)
    return {
        account: AccountUse(
            used=used.get(account, 0), refused=refused.get(account, 0)
        )
        for account in (used | refused)
    }


def _share_of(asked: _Asked, uses: dict[str, AccountUse]) -> AccountShare:
    """Return the share of a request's account."""
    capacity = delivered_seconds(
        sum(use.used for use in uses.values()),
        engines=asked.load.engines,
        backlog_seconds=asked.load.backlog_seconds,
        target_seconds=asked.target_seconds,
    )
    shares = divide(uses, capacity)
    return shares.get(asked.request.account, AccountShare(due=0, excess=0))


def _is_above_share(asked: _Asked) -> bool:
    """Return whether an account used more than its share.

    Without another active account nobody gains by a refusal.
    """
    uses = _uses(asked)
    if len(uses) < 2 or is_capacity_enough(uses, asked.load.engines):
        return False
    return _share_of(asked, uses).excess > 0


def _count_decision(refusal: Refusal | None, asked: _Asked) -> None:
    account = asked.request.account
    priority = str(max(0, min(_LOWEST_PRIORITY, asked.request.priority)))
    if asked.standing is not Standing.NEW:
        telemetry.count(
            'prompt_returns',
            standing=asked.standing,
            outcome='refused' if refusal else 'admitted',
            priority=priority,
        )
    if refusal:
        reason = refusal.name.lower().replace('_', '-')
        telemetry.count('prompt_refusals', reason=reason, priority=priority)
    if not account:
        return
    if refusal:
        telemetry.count('account_refusals', account=account)
    else:
        milliseconds = round(asked.prompt.engine_seconds * _MILLISECONDS)
        telemetry.count(
            'account_engine_milliseconds', milliseconds, account=account
        )


def _log_refusal(refusal: Refusal, asked: _Asked, retry_after: float) -> None:
    """Log a refusal; the entry that asked logs it with the request's id."""
    request = asked.request
    own = _share_of(asked, _uses(asked))
    note(
        'prompt refused',
        reason=refusal,
        service=request.service,
        account=request.account,
        priority=request.priority,
        tokens=request.prompt_tokens,
        backlog_seconds=round(asked.load.backlog_seconds, 3),
        due_seconds=round(own.due, 3),
        excess_seconds=round(own.excess, 3),
        retry_after_seconds=round(retry_after, 3),
    )


def _mean_wait(
    usages: tuple[EngineUsage, ...], cost_model: EngineCostModel | None
) -> float:
    """Return the mean time until engines are done with prefill and queue."""
    waits = [usage.backlog_seconds for usage in usages]
    if cost_model is not None:
        waits += [queue_seconds(usage, cost_model) for usage in usages]
    return sum(waits) / len(usages)


def _pool_of(request: PlanRequest) -> Pool:
    return request.service, request.group
