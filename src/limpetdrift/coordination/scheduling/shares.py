"""Divides engine time among client accounts, by max-min fairness.

Designed for one account at many times its usual load, and for accounts that
send only the longest prompts beside others that send short ones. Accounts are
charged engine time, not requests. Shares matter only while prompts are late or
refused, and idle engines are open to everyone.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from limpetdrift.coordination.engines.engine_cost_model import prefill_seconds
from limpetdrift.protocol.plans import (
    AccountUsage,
    EngineGroup,
    PlanRequest,
    UsageReport,
)
from limpetdrift.protocol.route_table import EngineCostModel

# Time constant with which charges decay. It is several times the duration of a
# short stream, and short enough for a burst to count only while it hurts.
DECAY_SECONDS = 5.0
# An account takes part in the division for this time after its last request.
ACTIVE_SECONDS = 5.0
# Charges of an account are dropped this long after its last request. By then
# 0.14 of them is left, less than the error allowed at a hand-over.
KEPT_SECONDS = 10.0
# Share of the engines' time that accounts must ask for before shares matter.
# Replays use 0.46 of it under their usual load and 0.57 at 1.7 times that,
# where a few prompts wait behind a long one; saturated engines use 0.8 to 1.05.
BUSY_SHARE = 0.7
# Accounts in a report at most, those with the highest charges.
MAX_REPORTED_ACCOUNTS = 64
# Stored charges grow by exp(time / DECAY_SECONDS) and are scaled down after
# this time, far from the largest number of exp(700).
_RESCALE_SECONDS = 100.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountUse:
    """Decayed engine seconds that an account got, and that it was refused."""

    used: float = 0.0
    refused: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountShare:
    """An account's fair share, and what it used above that, in engine seconds.

    The share is at most what the account asked for.
    """

    due: float
    excess: float


def divide(
    uses: Mapping[str, AccountUse], capacity: float
) -> dict[str, AccountShare]:
    """Divide ``capacity`` engine seconds among accounts by max-min fairness.

    The shares add up to the capacity, or to all that was asked for if that is
    less.
    """
    demands = {name: use.used + use.refused for name, use in uses.items()}
    left = max(0, capacity)
    shares = {}
    ordered = sorted(demands, key=lambda name: demands[name])
    for place, name in enumerate(ordered):
        due = min(demands[name], left / (len(ordered) - place))
        left -= due
        shares[name] = AccountShare(
            due=due, excess=max(0, uses[name].used - due)
        )
    return shares


def is_capacity_enough(uses: Mapping[str, AccountUse], engines: float) -> bool:
    """Return whether engines have time for all that accounts ask for."""
    demand = sum(use.used + use.refused for use in uses.values())
    return demand < engines * DECAY_SECONDS * BUSY_SHARE


def delivered_seconds(
    used: float,
    *,
    engines: float,
    backlog_seconds: float,
    target_seconds: float,
) -> float:
    """Return the decayed engine seconds that engines had for all accounts.

    ``used`` is the sum charged. What of the mean ``backlog_seconds`` exceeds
    the target of a prompt was charged, but the engines didn't get to it in
    time. No more counts than all engines deliver when they are always busy,
    and no less than saturated ones do: charges decay while work waits.
    """
    most = engines * DECAY_SECONDS
    overdue = engines * max(0, backlog_seconds - target_seconds)
    least = min(used, most * BUSY_SHARE)
    return max(least, min(most, used - overdue))


def engine_seconds(request: PlanRequest, cost_model: EngineCostModel) -> float:
    """Return the engine time of a prompt: prefill of all parts, and decode.

    A stream is charged its part of the step that all slots share.
    """
    answer_tokens = request.answer_tokens
    if cost_model.usual_answer_tokens:
        answer_tokens = min(answer_tokens, cost_model.usual_answer_tokens)
    token_seconds = (
        cost_model.step_seconds / cost_model.slots
        + cost_model.stream_seconds
        + cost_model.context_seconds * request.prompt_tokens
    )
    prefill = prefill_seconds(cost_model, request.prompt_tokens)
    return prefill + answer_tokens * token_seconds


def decay(age_seconds: float) -> float:
    """Return the part of a charge that is left at an age."""
    return math.exp(-max(0, age_seconds) / DECAY_SECONDS)


class DecayedUsage:
    """Engine seconds by account, decayed, and by the entry that reported them.

    Charges are stored multiplied by the growth since an origin, so that all
    decay without being touched. All times are seconds of one clock.
    """

    def __init__(self) -> None:
        self._origin = 0.0
        self._totals: dict[str, float] = {}
        self._by_entry: dict[str, dict[str, float]] = {}
        self._active_at: dict[str, float] = {}

    def charge(
        self, account: str, seconds: float, now: float, entry: str = ''
    ) -> None:
        """Charge an account for a request that came by an entry."""
        self._rescale(now)
        self._active_at[account] = now
        self._add(entry, account, seconds / decay(now - self._origin))

    def replace(
        self, entry: str, charges: Mapping[str, float], now: float
    ) -> None:
        """Set all charges of an entry to those that it reports.

        So a report that comes again, or is of plans made here, counts once.
        """
        self._rescale(now)
        for account, stored in self._by_entry.pop(entry, {}).items():
            self._totals[account] -= stored
        for account, seconds in charges.items():
            self._active_at.setdefault(account, now)
            self._add(entry, account, seconds / decay(now - self._origin))

    def by_account(
        self, now: float, within_seconds: float = ACTIVE_SECONDS
    ) -> dict[str, float]:
        """Return the charges of accounts that were active lately."""
        left = decay(now - self._origin)
        return {
            account: max(0, stored * left)
            for account, stored in self._totals.items()
            if now - self._active_at[account] <= within_seconds
        }

    def _add(self, entry: str, account: str, stored: float) -> None:
        charges = self._by_entry.setdefault(entry, {})
        charges[account] = charges.get(account, 0) + stored
        self._totals[account] = self._totals.get(account, 0) + stored

    def _rescale(self, now: float) -> None:
        """Move the origin to now if it is long ago; drop idle accounts."""
        if now - self._origin < _RESCALE_SECONDS:
            return
        left = decay(now - self._origin)
        self._origin = now
        kept = {
            account: active_at
            for account, active_at in self._active_at.items()
            if now - active_at <= KEPT_SECONDS
        }
        self._active_at = kept
        self._by_entry = {
            entry: scaled
            for entry, charges in self._by_entry.items()
            if (scaled := _scale(charges, kept, left))
        }
        self._totals = _scale(self._totals, kept, left)


class OwnUsage:
    """What accounts were charged for one entry's plans, for its reports."""

    def __init__(self) -> None:
        self._usages: dict[EngineGroup, dict[str, DecayedUsage]] = {}

    @property
    def groups(self) -> frozenset[EngineGroup]:
        """The groups in which plans were charged."""
        return frozenset(self._usages)

    def charge(self, request: PlanRequest, seconds: float, now: float) -> None:
        """Charge the account of a request for its plan."""
        by_service = self._usages.setdefault(request.group, {})
        usage = by_service.setdefault(request.service, DecayedUsage())
        usage.charge(request.account, seconds, now)

    def report(
        self, entry: str, group: EngineGroup, now: float
    ) -> UsageReport | None:
        """Return the charges in a group in the last 10 s, if there are any."""
        charged = [
            AccountUsage(service=service, account=name, engine_seconds=seconds)
            for service, usage in self._usages.get(group, {}).items()
            for name, seconds in usage.by_account(now, KEPT_SECONDS).items()
        ]
        if not charged:
            return None
        charged.sort(key=lambda each: each.engine_seconds, reverse=True)
        reported = tuple(charged[:MAX_REPORTED_ACCOUNTS])
        return UsageReport(entry=entry, group=group, accounts=reported)


def _scale(
    charges: Mapping[str, float], kept: Mapping[str, float], factor: float
) -> dict[str, float]:
    return {
        account: stored * factor
        for account, stored in charges.items()
        if account in kept
    }
