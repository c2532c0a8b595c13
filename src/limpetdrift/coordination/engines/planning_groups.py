"""Divides the engines of a large service into groups, each with a planner.

Answers a large fleet under its peak load. A single planner for all engines
would have to answer several hundred requests a second, more than one processor
can; requests that time out there are then planned without knowledge of the
others. With groups the load on a planner doesn't grow with the fleet, the death
of a planner affects its own group only, and plans stay within a failure domain,
where messages are fast and cheap. The entries agree on the groups from the
endpoint list alone. All functions depend only on their arguments.

>>> layout = make_layout({'north': 60, 'south': 64}, GroupLayout())
>>> home_group(layout, 'north', 'entry-1').failure_domain
'north'
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from expression import Result

from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    UNLIMITED_COST,
    EngineGroup,
    Plan,
    bucket_of,
)
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Failure

# A service is divided if its failure domains have this number of engines on
# average. The longest prompts need up to 17 engines that are nearly idle.
MIN_GROUP_ENGINES = 24
# Hysteresis: a divided service stays so down to this share of the minimum, so
# that engines that leave for a time don't change all groups twice.
_STAY_DIVIDED_SHARE = 2 / 3
# A failure domain with more engines is divided further.
MAX_GROUP_ENGINES = 60
# A plan that costs this much makes an answer late, its own or that of a
# stream, or crowds an engine. Another group is then asked for a better one.
_EXPENSIVE_PLAN_COST = 0.5
# Another group's plan is taken if it costs at most this share of the first.
_BETTER_PLAN_SHARE = 0.6


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupLayout:
    """The division of a service: none if ``failure_domains`` is empty.

    Each failure domain is divided into ``bucket_count`` groups.
    """

    failure_domains: tuple[str, ...] = ()
    bucket_count: int = 1

    @property
    def groups(self) -> tuple[EngineGroup, ...]:
        """All groups of the service."""
        if not self.failure_domains:
            return (EngineGroup(),)
        return tuple(
            EngineGroup(
                failure_domain=failure_domain,
                bucket=bucket,
                bucket_count=self.bucket_count,
            )
            for failure_domain in self.failure_domains
            for bucket in range(self.bucket_count)
        )


def make_layout(
    engine_counts: Mapping[str, int],
    previous: GroupLayout,
    min_group_engines: float = MIN_GROUP_ENGINES,
) -> GroupLayout:
    """Return the layout for a number of engines in each failure domain."""
    if not engine_counts:
        return GroupLayout()
    mean_count = sum(engine_counts.values()) / len(engine_counts)
    minimum = min_group_engines
    if previous.failure_domains:
        minimum *= _STAY_DIVIDED_SHARE
    if mean_count < minimum:
        return GroupLayout()
    return GroupLayout(
        failure_domains=tuple(sorted(engine_counts)),
        bucket_count=max(1, round(mean_count / MAX_GROUP_ENGINES)),
    )


def home_group(
    layout: GroupLayout, failure_domain: str, entry: str
) -> EngineGroup:
    """Return the group in which an entry's prompts are planned first."""
    if not layout.failure_domains:
        return EngineGroup()
    if failure_domain not in layout.failure_domains:
        failure_domain = choose_by_hash(entry, layout.failure_domains, 1)[0]
    return EngineGroup(
        failure_domain=failure_domain,
        bucket=bucket_of(entry, layout.bucket_count),
        bucket_count=layout.bucket_count,
    )


def planner_candidates(
    group: EngineGroup, entries: Iterable[Node]
) -> tuple[Node, ...]:
    """Return the entries that may plan for a group, the first choice first.

    The entry of the group that started first plans: one that has just joined
    has no plans in its ledger, so it must not take over. Entries of other
    groups plan only if none of the group is reachable.
    """
    ordered = sorted(entries, key=_start_order)
    return (
        *(each for each in ordered if _is_member(group, each)),
        *(each for each in ordered if not _is_member(group, each)),
    )


def is_expensive(plan: Plan) -> bool:
    """Return whether a plan makes an answer late or crowds an engine."""
    return plan.cost >= _EXPENSIVE_PLAN_COST


def cost_limit_elsewhere(
    planned: Result[Plan, Failure], *, is_home: bool = True
) -> float | None:
    """Return the cost below which another group's plan is preferred.

    ``None`` if another group need not be asked. One is asked if this group
    refused the request or its plan is expensive, as when callers move to one
    failure domain or its engines are lost, or if it is the entry's home group
    and its planner prefers that: the other group's plan may then cost more.
    """
    if planned.is_error():
        return UNLIMITED_COST
    plan = planned.ok
    if plan.prefers_alternative and is_home:
        return max(_EXPENSIVE_PLAN_COST, plan.cost * _BETTER_PLAN_SHARE)
    return plan.cost * _BETTER_PLAN_SHARE if is_expensive(plan) else None


class PlanningGroups:
    """The groups of all services, computed once for each endpoint list.

    A service is divided if its failure domains have ``min_group_engines`` on
    average.
    """

    def __init__(
        self,
        *,
        node: Node,
        view: EndpointView,
        min_group_engines: float = MIN_GROUP_ENGINES,
    ) -> None:
        self._node = node
        self._view = view
        self._min_group_engines = min_group_engines
        self._layouts: dict[str, tuple[int, GroupLayout]] = {}

    def layout(self, service: str) -> GroupLayout:
        """Return the division of a service's engines."""
        version = self._view.version
        found = self._layouts.get(service)
        if found is not None and found[0] == version:
            return found[1]
        counts = Counter(
            each.failure_domain for each in self._view.usable(service)
        )
        previous = found[1] if found else GroupLayout()
        layout = make_layout(counts, previous, self._min_group_engines)
        self._layouts[service] = (version, layout)
        return layout

    def home(self, service: str) -> EngineGroup:
        """Return the group in which this entry's prompts are planned first."""
        return home_group(
            self.layout(service), self._node.failure_domain, self._node.name
        )

    def group_of(self, endpoint: ListedEndpoint) -> EngineGroup:
        """Return the group that an endpoint belongs to."""
        return next(
            (
                group
                for group in self.layout(endpoint.service).groups
                if group.contains(endpoint.failure_domain, endpoint.name)
            ),
            EngineGroup(),
        )

    def members(
        self, service: str, group: EngineGroup
    ) -> tuple[ListedEndpoint, ...]:
        """Return the usable engines of a group."""
        return tuple(
            each
            for each in self._view.usable(service)
            if group.contains(each.failure_domain, each.name)
        )


def _is_member(group: EngineGroup, entry: Node) -> bool:
    return group.contains(entry.failure_domain, entry.name)


def _start_order(entry: Node) -> tuple[int, str]:
    return (entry.incarnation, entry.name)
