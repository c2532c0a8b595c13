"""Exchanges the loads of a service's groups among their planners.

Answers demand that is uneven among failure domains. Nothing is sent while no
group refuses prompts, lets them wait or has lost most of its engines. A planner
names the less loaded group in its plans. A refusal has no field for it: the
entry asks the group that was named to it last, and so does this planner count
the work of refused prompts.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.engines.planning_groups import (
    PlanningGroups,
    is_expensive,
)
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.planning.planner import Planner
from limpetdrift.coordination.scheduling.group_loads import (
    SEND_INTERVAL_SECONDS,
    GroupLoads,
    SentLoad,
    choose_group,
    due_groups,
    expected_loads,
    is_pressed,
    load_of,
    make_digest,
)
from limpetdrift.coordination.scheduling.named_groups import (
    NAME_SECONDS,
    NamedGroup,
)
from limpetdrift.coordination.scheduling.planned_group import (
    PlannedGroup,
    count_waiting,
    forget_old,
    record_outcome,
    update_preference,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    UNLIMITED_COST,
    Acknowledgement,
    EngineGroup,
    GroupLoad,
    Plan,
    PlanRequest,
)
from limpetdrift.supervision import run_contained
from limpetdrift.verdict import Failure

GROUP_LOADS_PATH = 'group-loads'
# Age of this entry's own digest at which it is made anew for the next plan.
_DIGEST_AGE_SECONDS = 0.25
_SEND_TIMEOUT_SECONDS = 0.3


@dataclass(frozen=True, kw_only=True)
class GroupLoadInputs:
    """What an exchange needs of its entry.

    ``find_planner`` returns the planner of a group, ``None`` if it is this
    entry. ``clock`` returns seconds.
    """

    name: str
    planner: Planner
    groups: PlanningGroups
    find_planner: Callable[[EngineGroup], Node | None]
    call: PeerCall
    clock: Callable[[], float]
    randomness: Random


class GroupLoadExchange:
    """Names less loaded groups in plans, and exchanges the loads for it.

    ``run`` has to run in the background.
    """

    def __init__(self, *, inputs: GroupLoadInputs) -> None:
        self._inputs = inputs
        self._loads = GroupLoads()
        self._planned: dict[tuple[str, EngineGroup], PlannedGroup] = {}
        self._pressed = trio.Event()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler of peers' digests."""
        peer_routes.add(GROUP_LOADS_PATH, GroupLoad, self._answer_load)

    async def answer_plan(self, message: PlanRequest) -> Result[Plan, Failure]:
        """Answer a peer's request for a plan."""
        planned = await self._inputs.planner.answer_plan(message)
        return self.name_group(planned, message)

    def name_group(
        self, planned: Result[Plan, Failure], request: PlanRequest
    ) -> Result[Plan, Failure]:
        """Return a plan made here with the name of a less loaded group.

        It has none if the service is not divided, or nothing is known of other
        groups.
        """
        if not request.group.failure_domain:
            return planned
        if request.cost_limit < UNLIMITED_COST:
            # The entry has asked its own group before.
            return planned
        now = self._inputs.clock()
        own = self._planned_group(request.service, request.group)
        record_outcome(own, planned, request, now)
        if now - own.digest_at >= _DIGEST_AGE_SECONDS:
            self._update_digest(own, now)
        known = self._loads.others(request.service, request.group, now)
        loads = expected_loads(known, now)
        update_preference(own, loads, now)
        if planned.is_error():
            self._add_refused(own, request, now)
            return planned
        group = choose_group(loads, self._inputs.randomness)
        return Ok(self._name(planned.ok, request, own, group))

    async def run(self) -> None:
        """Send digests while a group needs the help of others."""
        while True:
            await self._pressed.wait()
            self._pressed = trio.Event()
            try:
                async with trio.open_nursery() as nursery:
                    self._send_due(nursery)
            except Exception:
                # Sent again after the restart.
                self._pressed.set()
                raise
            await trio.sleep(SEND_INTERVAL_SECONDS)
            self._check_pressure()

    def _planned_group(self, service: str, group: EngineGroup) -> PlannedGroup:
        found = self._planned.get((service, group))
        if found is None:
            header = GroupLoad(
                service=service, group=group, planner=self._inputs.name
            )
            found = PlannedGroup(digest=header)
            self._planned[(service, group)] = found
        return found

    def _update_digest(self, own: PlannedGroup, now: float) -> None:
        service, group = own.digest.service, own.digest.group
        planner = self._inputs.planner
        cost_model = planner.find_cost_model(service)
        if cost_model is None:
            return
        members = self._inputs.groups.members(service, group)
        forget_old(own, now)
        own.digest_at = now
        own.digest = make_digest(
            planner.ledger(service).usages(members),
            cost_model,
            replace(
                own.digest,
                made_at=round(now, 3),
                waiting=count_waiting(own.waiting),
                refused=len(own.refused),
            ),
        )
        if is_pressed(own.digest):
            self._pressed.set()

    def _name(
        self,
        plan: Plan,
        request: PlanRequest,
        own: PlannedGroup,
        group: EngineGroup | None,
    ) -> Plan:
        if group is None:
            return plan
        is_preferred = own.preference.is_on
        own.named[request.entry] = NamedGroup(
            group=group,
            is_preferred=is_preferred,
            named_at=self._inputs.clock(),
        )
        if is_preferred or is_expensive(plan):
            self._add_work(request, group)
        return replace(
            plan, alternative=group, prefers_alternative=is_preferred
        )

    def _add_refused(
        self, own: PlannedGroup, request: PlanRequest, now: float
    ) -> None:
        """Add a refused prompt to the group that its entry asks next."""
        named = own.named.get(request.entry)
        if named is not None and now - named.named_at <= NAME_SECONDS:
            self._add_work(request, named.group)

    def _add_work(self, request: PlanRequest, group: EngineGroup) -> None:
        cost_model = self._inputs.planner.find_cost_model(request.service)
        if cost_model is not None:
            self._loads.add_work(request, group, cost_model)

    async def _answer_load(
        self, message: GroupLoad
    ) -> Result[Acknowledgement, Failure]:
        """Keep a digest, and send those of this entry's groups in return."""
        self._loads.put(message, self._inputs.clock())
        if is_pressed(message):
            for group in self._inputs.groups.layout(message.service).groups:
                if self._inputs.find_planner(group) is None:
                    self._planned_group(message.service, group)
            self._pressed.set()
        return Ok(Acknowledgement())

    def _check_pressure(self) -> None:
        """Continue to send while this or another group needs help."""
        now = self._inputs.clock()
        for (service, group), own in self._planned.items():
            self._update_digest(own, now)
            others = self._loads.others(service, group, now)
            if any(is_pressed(each.digest) for each in others):
                self._pressed.set()

    def _send_due(self, nursery: trio.Nursery) -> None:
        """Send the digest of each group that this entry plans for, if due."""
        for (service, group), own in tuple(self._planned.items()):
            groups = self._inputs.groups.layout(service).groups
            is_planner = self._inputs.find_planner(group) is None
            if not is_planner or group not in groups:
                self._planned.pop((service, group))
                continue
            now = self._inputs.clock()
            self._update_digest(own, now)
            others = [other for other in groups if other != group]
            load = load_of(own.digest)
            for target in due_groups(load, own.sent, others, now):
                own.sent[target] = SentLoad(load=load, sent_at=now)
                nursery.start_soon(
                    run_contained, 'group-load', self._send, own.digest, target
                )

    async def _send(self, digest: GroupLoad, target: EngineGroup) -> None:
        planner = self._inputs.find_planner(target)
        if planner is None:
            self._loads.put(digest, self._inputs.clock())
            return
        answer = await self._inputs.call(
            planner.peer_address,
            GROUP_LOADS_PATH,
            digest,
            Acknowledgement,
            timeout_seconds=_SEND_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            telemetry.count('group_loads_unsent', reason=answer.error.reason)
