"""Finds the planner of a group of engines, and reports this entry's plans.

A new planner gets this entry's plans in force in its group, and each planner
the plans that ended there.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.engines.planning_groups import planner_candidates
from limpetdrift.coordination.membership.membership import Member
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.planning.planner import Planner
from limpetdrift.coordination.scheduling.shares import OwnUsage
from limpetdrift.logs import note
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    Acknowledgement,
    ActivePlan,
    ActivePlans,
    EndedPlan,
    EndedPlans,
    EndpointId,
    EngineGroup,
    Plan,
    PlanRequest,
)
from limpetdrift.supervision import keep_running, run_contained
from limpetdrift.verdict import Failure, Reason

ENDED_PATH = 'plans-ended'
ACTIVE_PATH = 'plans-active'
# Back-off after a planner was unreachable: the first interval, the ceiling, and
# the factor for each further failure in a row. The ceiling is the time that
# peers take to detect that the planner has died.
BACK_OFF_SECONDS = 0.4
BACK_OFF_CEILING_SECONDS = 4.0
_BACK_OFF_FACTOR = 4
# Batching interval: plans that end within it are reported in one message.
ENDED_BATCH_SECONDS = 0.05
_REPORT_TIMEOUT_SECONDS = 0.3


@dataclass(frozen=True, kw_only=True)
class PlannerClientInputs:
    """What a planner client needs of its entry.

    ``planner`` is the local one. ``record_connection_refused`` gets the name
    of an entry that refused a connection. ``clock`` returns seconds.
    """

    node: Node
    planner: Planner
    call: PeerCall
    live_entries: Callable[[], tuple[Node, ...]]
    record_connection_refused: Callable[[str], None]
    clock: Callable[[], float]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanInForce:
    """A plan of this entry, and when it was put into use."""

    plan: Plan
    request: PlanRequest
    begun_at: float


@dataclass(kw_only=True, slots=True)
class _BackOff:
    until: float = float('-inf')
    seconds: float = BACK_OFF_SECONDS


class PlannerClient:
    """Finds the planners, and reports this entry's plans to them.

    ``in_force`` holds this entry's plans by grant. Ended plans that are yet to
    be reported are kept by service and group.
    """

    def __init__(self, *, inputs: PlannerClientInputs) -> None:
        self._inputs = inputs
        self.in_force: dict[str, PlanInForce] = {}
        self._usage = OwnUsage()
        self._ended: dict[tuple[str, EngineGroup], list[EndedPlan]] = {}
        self._full: dict[tuple[str, EngineGroup], set[EndpointId]] = {}
        self._informed_planners: dict[EngineGroup, str] = {}
        self._candidates: dict[EngineGroup, tuple[Node, ...]] = {}
        self._back_offs: dict[str, _BackOff] = {}
        self._plan_ended = trio.Event()
        self._planner_changed = trio.Event()

    def planner(self, group: EngineGroup) -> Node | None:
        """Return the entry that plans for a group, ``None`` if it is this one.

        It is the first candidate that is reachable.
        """
        candidates = self._candidates.get(group)
        if candidates is None:
            candidates = planner_candidates(group, self._inputs.live_entries())
            self._candidates[group] = candidates
        now = self._inputs.clock()
        chosen = next(
            (
                each
                for each in candidates
                if not _is_backed_off(self._back_offs.get(each.name), now)
            ),
            self._inputs.node,
        )
        return None if chosen == self._inputs.node else chosen

    def begin(self, plan: Plan, request: PlanRequest) -> None:
        """Record a plan that is in force from now on."""
        now = self._inputs.clock()
        self.in_force[plan.grant] = PlanInForce(
            plan=plan, request=request, begun_at=now
        )
        if not request.is_admitted:
            seconds = self._inputs.planner.admission.engine_seconds(request)
            self._usage.charge(request, seconds, now)

    def end(self, service: str, ended: EndedPlan) -> None:
        """Drop a plan that has ended, and report it to its planner soon."""
        dropped = self.in_force.pop(ended.grant, None)
        group = dropped.request.group if dropped else EngineGroup()
        self.report_soon(service, group, (ended,))

    def report_soon(
        self,
        service: str,
        group: EngineGroup,
        ended: tuple[EndedPlan, ...] = (),
        full: tuple[EndpointId, ...] = (),
    ) -> None:
        """Report ended plans and engines that leave to a group's planner.

        So are the engines in ``full``, which turned requests away.
        """
        if self.planner(group) is not None:
            self._ended.setdefault((service, group), []).extend(ended)
            self._full.setdefault((service, group), set()).update(full)
            self._plan_ended.set()

    def pop_ended(
        self, service: str, group: EngineGroup
    ) -> tuple[EndedPlan, ...]:
        """Return and remove the ended plans that are yet to be reported."""
        return tuple(self._ended.pop((service, group), ()))

    def record_unreachable(self, planner: Node, failure: Failure) -> None:
        """Back off from a planner that could not be reached."""
        telemetry.count('planner_silent', reason=failure.reason)
        note(
            'planner out of reach, planning alone',
            planner=planner.name,
            reason=failure.reason,
        )
        if failure.reason is Reason.CONNECT_FAILED:
            self._inputs.record_connection_refused(planner.name)
        back_off = self._back_offs.setdefault(planner.name, _BackOff())
        back_off.until = self._inputs.clock() + back_off.seconds
        back_off.seconds = min(
            back_off.seconds * _BACK_OFF_FACTOR,
            BACK_OFF_CEILING_SECONDS,
        )

    def record_answer(self, planner: Node, group: EngineGroup) -> None:
        """Reset the back-off of a planner that answered."""
        self._back_offs.pop(planner.name, None)
        if self._informed_planners.get(group) != planner.name:
            self._informed_planners.setdefault(group, '')
            self._planner_changed.set()

    def on_members_changed(self, changed: tuple[Member, ...]) -> None:
        """Drop the plans of entries that died, and check for new planners."""
        for member in changed:
            if member.state is MemberState.DEAD:
                self._inputs.planner.forget_entry(member.node.name)
        self._candidates.clear()
        self._planner_changed.set()

    async def run(self) -> None:
        """Report plans in force and ended to planners until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'ended-plans', self._report_ended_plans
            )
            nursery.start_soon(
                keep_running, 'active-plans', self._inform_new_planners
            )

    async def _send_active_plans(
        self, planner: Node, group: EngineGroup
    ) -> None:
        """Send the plans in force in a group to a planner that is new to it."""
        self._informed_planners[group] = planner.name
        now = self._inputs.clock()
        active = tuple(
            ActivePlan(
                plan=each.plan,
                request=each.request,
                age_seconds=now - each.begun_at,
            )
            for each in self.in_force.values()
            if each.request.group == group
        )
        note(
            'another entry plans',
            planner=planner.name,
            failure_domain=group.failure_domain,
            told=len(active),
        )
        usage = self._usage.report(self._inputs.node.name, group, now)
        if active or usage:
            await self._inputs.call(
                planner.peer_address,
                ACTIVE_PATH,
                ActivePlans(active=active, usage=usage),
                Acknowledgement,
                timeout_seconds=_REPORT_TIMEOUT_SECONDS,
            )

    async def _inform_new_planners(self) -> None:
        if self._informed_planners:
            self._planner_changed.set()
        while True:
            await self._planner_changed.wait()
            self._planner_changed = trio.Event()
            groups = {each.request.group for each in self.in_force.values()}
            groups |= self._usage.groups
            for group in groups.union(self._informed_planners):
                planner = self.planner(group)
                informed = self._informed_planners.get(group)
                if planner is not None and planner.name != informed:
                    await run_contained(
                        'active-plans', self._send_active_plans, planner, group
                    )

    async def _report_ended_plans(self) -> None:
        if self._ended or self._full:
            self._plan_ended.set()
        while True:
            await self._plan_ended.wait()
            await trio.sleep(ENDED_BATCH_SECONDS)
            self._plan_ended = trio.Event()
            pending = {*self._ended, *self._full}
            for service, group in pending:
                await run_contained(
                    'ended-plans', self._send_ended_plans, service, group
                )

    async def _send_ended_plans(self, service: str, group: EngineGroup) -> None:
        ended = self.pop_ended(service, group)
        full = tuple(self._full.pop((service, group), ()))
        leaving = self._inputs.planner.leaving(service)
        planner = self.planner(group)
        if planner is None or not (ended or leaving or full):
            return
        answer = await self._inputs.call(
            planner.peer_address,
            ENDED_PATH,
            EndedPlans(
                service=service, ended=ended, leaving=leaving, full=full
            ),
            Acknowledgement,
            timeout_seconds=_REPORT_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            # The planner drops unreported plans when their hold time is over.
            telemetry.count('plans_untold', reason=answer.error.reason)


def _is_backed_off(back_off: _BackOff | None, now: float) -> bool:
    return back_off is not None and back_off.until > now
