"""Chooses the group of engines that is asked if the home group is loaded.

Answers demand that is uneven among failure domains: twice the usual demand in
one of them, a third of the engines lost in another, or all engines of one
silent at once while they are still listed. Digests are up to some seconds old,
so the choice must not send all prompts to the one group that was idle then. It
is made by power of two choices, by loads that count the less the older they
are, plus the work sent there since. All functions depend only on their
arguments.

>>> east = GroupLoad(service='s', group=EngineGroup(), engines=2, slots=16)
>>> load_of(east)
1.0
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random

from limpetdrift.coordination.engines.engine_cost_model import prefill_seconds
from limpetdrift.coordination.engines.split_costs import (
    free_tokens,
)
from limpetdrift.protocol.plans import EngineGroup, GroupLoad, PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.state.engine_usage import EngineUsage

# A digest that is older doesn't count.
STALE_SECONDS = 3.0
# Send interval of a planner's digest to one group at least, and at most if the
# load has not changed by ``_LOAD_CHANGE``.
SEND_INTERVAL_SECONDS = 0.5
_RESEND_INTERVAL_SECONDS = 2.0
_LOAD_CHANGE = 0.1
# Groups to which a planner sends its digest at a time. It bounds the messages
# of a planner in large fleets: with 12 groups each gets one every 1.5 s.
_TARGETS_PER_ROUND = 4
# Sample size of the choice: power of two choices.
_CHOICES = 2
# A group with this number of prompts that wait or were refused lately needs
# help. A single one is usual: a very long prompt is late also in idle groups.
_PRESSED_PROMPTS = 3
# A group whose share of failing engines is above this has lost most of them.
_MANY_FAILING_SHARE = 0.5
# Time for which other groups are asked first after a group had lost most of its
# engines. An engine counts as failing for 1.5 s after its first failure, but
# the endpoint list names one that crashed for 3.6 s.
_LOST_HOLD_SECONDS = 2.5
# The excess of a group's load over the least load of others above which other
# groups are asked first, and the excess below which they are no longer.
_HIGH_EXCESS = 1.5
_LOW_EXCESS = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Preference:
    """Whether other groups are asked before this one.

    At ``lost_at`` most of its engines were failing, at last.
    """

    is_on: bool = False
    lost_at: float = float('-inf')


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownLoad:
    """A digest received at ``received_at``, with the load ``added`` since."""

    digest: GroupLoad
    received_at: float
    added: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SentLoad:
    """The load that was last sent to a group, and when."""

    load: float
    sent_at: float


def make_digest(
    usages: Iterable[EngineUsage],
    cost_model: EngineCostModel,
    header: GroupLoad,
) -> GroupLoad:
    """Return ``header`` with the figures of a group's engines."""
    usages = tuple(usages)
    working = [usage for usage in usages if not usage.failing]
    backlog = sum(usage.backlog_seconds for usage in working)
    slots = cost_model.slots * len(working)
    return replace(
        header,
        engines=len(usages),
        failing=len(usages) - len(working),
        backlog_seconds=round(backlog / max(1, len(working)), 3),
        free_tokens=sum(
            max(0, free_tokens(usage, cost_model)) for usage in working
        ),
        free_slots=slots - sum(usage.streams for usage in working),
        slots=slots,
    )


def load_of(digest: GroupLoad) -> float:
    """Return the load of a group, infinite if none of its engines works.

    It is the backlog of its engines on average, in seconds, plus the share of
    their slots that is taken: an engine without a free slot counts like one
    with a second of prefill, about as long as a short stream takes.
    """
    if not digest.slots:
        return float('inf')
    return digest.backlog_seconds + 1 - digest.free_slots / digest.slots


def has_lost_most(digest: GroupLoad) -> bool:
    """Return whether more than half of a group's engines are failing."""
    return digest.failing > digest.engines * _MANY_FAILING_SHARE


def is_pressed(digest: GroupLoad) -> bool:
    """Return whether a group may need the help of others."""
    prompts = digest.refused + sum(digest.waiting)
    return prompts >= _PRESSED_PROMPTS or has_lost_most(digest)


def added_load(
    request: PlanRequest, digest: GroupLoad, cost_model: EngineCostModel
) -> float:
    """Return the load that a prompt adds to a group."""
    engines = max(1, digest.engines - digest.failing)
    prefill = prefill_seconds(cost_model, request.prompt_tokens)
    return (prefill + 1 / cost_model.slots) / engines


def expected_loads(
    known: Iterable[KnownLoad], now: float
) -> dict[EngineGroup, float]:
    """Return the expected load of each group whose digest is recent.

    The older a digest, the closer is the expected load to the mean. Groups
    that have lost most of their engines are left out.
    """
    recent = [
        each
        for each in known
        if now - each.received_at <= STALE_SECONDS
        and each.digest.slots
        and not has_lost_most(each.digest)
    ]
    if not recent:
        return {}
    mean = sum(load_of(each.digest) for each in recent) / len(recent)
    return {
        each.digest.group: _damp(each, mean, now) + each.added
        for each in recent
    }


def choose_group(
    loads: Mapping[EngineGroup, float], randomness: Random
) -> EngineGroup | None:
    """Return the less loaded of two random groups; ``None`` without any.

    The same group may be drawn twice. Otherwise all prompts would go to the
    less loaded of two groups until the next digest.
    """
    if not loads:
        return None
    drawn = randomness.choices(list(loads), k=_CHOICES)
    return min(drawn, key=lambda group: loads[group])


def next_preference(
    previous: Preference,
    own: GroupLoad,
    loads: Mapping[EngineGroup, float],
    now: float,
) -> Preference:
    """Return whether other groups are asked before a group with load ``own``.

    They are if most of its engines fail, or if its load is far above the
    least of ``loads``, the expected ones of others. They are for some time
    after, and down to a lower excess, so that callers don't change between
    groups with each digest.
    """
    if not loads:
        return Preference()
    lost_at = now if has_lost_most(own) else previous.lost_at
    is_lost = now - lost_at < _LOST_HOLD_SECONDS
    excess = load_of(own) - min(loads.values())
    limit = _LOW_EXCESS if previous.is_on else _HIGH_EXCESS
    return Preference(is_on=is_lost or excess > limit, lost_at=lost_at)


def due_groups(
    load: float,
    sent: Mapping[EngineGroup, SentLoad],
    others: Iterable[EngineGroup],
    now: float,
) -> tuple[EngineGroup, ...]:
    """Return the groups to which a planner sends its load now.

    Those that were sent to longest ago come first.
    """
    never = SentLoad(load=float('-inf'), sent_at=float('-inf'))
    due = [
        group for group in others if _is_due(load, sent.get(group, never), now)
    ]
    due.sort(key=lambda group: sent.get(group, never).sent_at)
    return tuple(due[:_TARGETS_PER_ROUND])


class GroupLoads:
    """Keeps the digests of other groups, by service and group."""

    def __init__(self) -> None:
        self._known: dict[str, dict[EngineGroup, KnownLoad]] = {}

    def put(self, digest: GroupLoad, now: float) -> None:
        """Keep a digest, unless a later one of the same planner is known."""
        known = self._known.setdefault(digest.service, {})
        previous = known.get(digest.group)
        if previous is not None and _is_later(previous.digest, digest):
            return
        known[digest.group] = KnownLoad(digest=digest, received_at=now)

    def add_work(
        self,
        request: PlanRequest,
        group: EngineGroup,
        cost_model: EngineCostModel,
    ) -> None:
        """Add a prompt that is sent to a group to the load known of it."""
        known = self._known.get(request.service, {})
        previous = known.get(group)
        if previous is not None:
            added = added_load(request, previous.digest, cost_model)
            known[group] = replace(previous, added=previous.added + added)

    def others(
        self, service: str, group: EngineGroup, now: float
    ) -> tuple[KnownLoad, ...]:
        """Return the recent digests of all groups except one."""
        known = self._known.get(service, {})
        return tuple(
            each
            for other, each in known.items()
            if other != group and now - each.received_at <= STALE_SECONDS
        )


def _is_due(load: float, sent: SentLoad, now: float) -> bool:
    seconds = now - sent.sent_at
    if seconds < SEND_INTERVAL_SECONDS:
        return False
    is_changed = load != sent.load and abs(load - sent.load) > _LOAD_CHANGE
    return is_changed or seconds >= _RESEND_INTERVAL_SECONDS


def _is_later(previous: GroupLoad, digest: GroupLoad) -> bool:
    return (
        previous.planner == digest.planner and previous.made_at > digest.made_at
    )


def _damp(known: KnownLoad, mean: float, now: float) -> float:
    age_share = min(1, max(0, now - known.received_at) / STALE_SECONDS)
    return mean + (load_of(known.digest) - mean) * (1 - age_share)
