"""State of a group of engines at the entry that plans for it.

Answers an overload of one group: the prompts that wait there or were refused
show that it needs the help of others. The functions read no clock.
"""

from collections import Counter
from dataclasses import dataclass, field

from expression import Result

from limpetdrift.coordination.engines.planning_groups import is_expensive
from limpetdrift.coordination.scheduling.group_loads import (
    Preference,
    SentLoad,
    next_preference,
)
from limpetdrift.coordination.scheduling.named_groups import (
    NAME_SECONDS,
    NamedGroup,
)
from limpetdrift.logs import note
from limpetdrift.protocol.plans import (
    EngineGroup,
    GroupLoad,
    Plan,
    PlanRequest,
)
from limpetdrift.verdict import Failure

# A prompt with a longer delay counts as waiting.
_MIN_WAIT_SECONDS = 0.1
# Priorities below this one are counted with it, to bound the digest.
_LOWEST_PRIORITY = 9
# Time for which a refusal counts as recent.
_REFUSAL_SECONDS = 2.0


@dataclass(kw_only=True, slots=True)
class PlannedGroup:
    """State of a group for which this entry plans.

    ``waiting`` holds until when each prompt waits and its priority,
    ``refused`` the times of refusals. ``named`` is by entry.
    """

    digest: GroupLoad
    digest_at: float = float('-inf')
    preference: Preference = field(default_factory=Preference)
    waiting: list[tuple[float, int]] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    named: dict[str, NamedGroup] = field(default_factory=dict)
    sent: dict[EngineGroup, SentLoad] = field(default_factory=dict)


def record_outcome(
    own: PlannedGroup,
    planned: Result[Plan, Failure],
    request: PlanRequest,
    now: float,
) -> None:
    """Record whether a prompt waits or was refused."""
    if planned.is_error():
        own.refused.append(now)
        return
    plan = planned.ok
    if plan.delay_seconds > _MIN_WAIT_SECONDS or is_expensive(plan):
        own.waiting.append((now + plan.read_seconds, request.priority))


def forget_old(own: PlannedGroup, now: float) -> None:
    """Drop prompts that no longer wait, and old refusals and names."""
    own.waiting = [each for each in own.waiting if each[0] > now]
    own.refused = [at for at in own.refused if now - at <= _REFUSAL_SECONDS]
    own.named = {
        entry: named
        for entry, named in own.named.items()
        if now - named.named_at <= NAME_SECONDS
    }


def count_waiting(waiting: list[tuple[float, int]]) -> tuple[int, ...]:
    """Return how many prompts wait, by priority from 0 on."""
    counts = Counter(min(priority, _LOWEST_PRIORITY) for _, priority in waiting)
    return tuple(
        counts[priority] for priority in range(max(counts, default=-1) + 1)
    )


def update_preference(
    own: PlannedGroup, loads: dict[EngineGroup, float], now: float
) -> None:
    """Decide anew whether other groups are asked first; log each change."""
    previous = own.preference
    own.preference = next_preference(previous, own.digest, loads, now)
    if own.preference.is_on != previous.is_on:
        note(
            'other groups are asked first'
            if own.preference.is_on
            else 'this group is asked first again',
            service=own.digest.service,
            failure_domain=own.digest.group.failure_domain,
            engines=own.digest.engines,
            failing=own.digest.failing,
            backlog_seconds=own.digest.backlog_seconds,
        )
