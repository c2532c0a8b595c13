"""Finds the entry that decides for an endpoint that limits its rate.

It is the planner of the endpoint's group. Entries that can't reach it ask the
next candidate, so two may decide at once; only the one that all should ask
grants nearly the whole limit.
"""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift.coordination.engines.planning_groups import (
    PlanningGroups,
    planner_candidates,
)
from limpetdrift.coordination.membership.membership import Member
from limpetdrift.coordination.planning.planner_client import PlannerClient
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import EngineGroup
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.rate_budget import DOUBTFUL_SHARE, LEADING_SHARE

_MISSING_STATES = frozenset((MemberState.SUSPECT, MemberState.DEAD))


@dataclass(frozen=True, kw_only=True)
class LimitDeciderInputs:
    """What deciders are found by.

    ``members`` returns the entries that are or lately were in the cluster, and
    ``live_entries`` those that may decide.
    """

    node: Node
    groups: PlanningGroups
    planner_client: PlannerClient
    live_entries: Callable[[], tuple[Node, ...]]
    members: Callable[[], tuple[Member, ...]]


class LimitDeciders:
    """The entries that decide, by what this one knows of its peers."""

    def __init__(self, *, inputs: LimitDeciderInputs) -> None:
        self._inputs = inputs
        self._leading: dict[EngineGroup, bool] = {}

    def find(self, endpoint: ListedEndpoint) -> Node | None:
        """Return the entry to ask, ``None`` if it is this one."""
        group = self._inputs.groups.group_of(endpoint)
        return self._inputs.planner_client.planner(group)

    def share_of(self, endpoint: ListedEndpoint) -> float:
        """Return the share of an endpoint's limit that this entry grants."""
        group = self._inputs.groups.group_of(endpoint)
        leading = self._leading.get(group)
        if leading is None:
            leading = self._is_leading(group)
            self._leading[group] = leading
        return LEADING_SHARE if leading else DOUBTFUL_SHARE

    def on_members_changed(self, changed: tuple[Member, ...]) -> None:
        """Check again for which groups this entry is the first choice."""
        self._leading.clear()

    def _is_leading(self, group: EngineGroup) -> bool:
        """Return whether all entries should ask this one for a group.

        An entry that misses most others may be cut off from them, and they may
        ask another one meanwhile.
        """
        inputs = self._inputs
        candidates = planner_candidates(group, inputs.live_entries())
        is_first = not candidates or candidates[0] == inputs.node
        return is_first and sees_majority(inputs.members())


def sees_majority(members: tuple[Member, ...]) -> bool:
    """Return whether most of the known instances run an entry that is live.

    An instance whose entry has died and started again counts once.
    """
    live = {
        member.node.peer_address
        for member in members
        if member.state is MemberState.LIVE
    }
    missing = {
        member.node.peer_address
        for member in members
        if member.state in _MISSING_STATES
    }
    return not members or len(live) > len(missing - live)
