"""Gets plans for prompts from the entry that plans, or makes them alone.

>>> placed = await planning.place(work, frozenset())  # doctest: +SKIP
>>> planning.release(placed.ok.grant, ())  # doctest: +SKIP
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.planner import Planner, name_of
from limpetdrift.coordination.rendezvous import choose
from limpetdrift.logs import note
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    ActivePlan,
    ActivePlans,
    EndedPlans,
    EndpointName,
    GrantEnd,
    Noted,
    Plan,
    PlanRequest,
)
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import (
    Helper,
    ListedEndpoint,
    Placement,
    Work,
)
from limpetdrift.state.endpointview import EndpointView

PLAN_PATH = 'plan'
ENDED_PATH = 'plans-ended'
ACTIVE_PATH = 'plans-active'
# A planner answers within a few milliseconds; a silent one costs each prompt
# this long at most.
PLAN_SECONDS = 0.08
# A planner that was silent isn't asked for this long.
SILENT_SECONDS = 1.0
# Ended plans are told in one message after this long.
TELL_SECONDS = 0.05
_TELL_TIMEOUT_SECONDS = 0.3
# Prompts of unknown size are planned for as usual ones.
_USUAL_PROMPT_TOKENS = 5000
_USUAL_ANSWER_TOKENS = 1500
_PRIORITIES = 9


@dataclass(frozen=True, kw_only=True)
class PlanningInputs:
    """What the asking side is given by the rest of the entry.

    ``note_refused`` is told of an entry that refused a connection.
    """

    node: Node
    planner: Planner
    view: EndpointView
    call: PeerCall
    live_entries: Callable[[], tuple[Node, ...]]
    note_refused: Callable[[str], None]
    clock: Callable[[], float]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Active:
    plan: Plan
    request: PlanRequest
    since: float


class Planning:
    """The plans of this entry's requests.

    ``run`` tells the planner of ended plans until cancelled.
    """

    def __init__(self, *, inputs: PlanningInputs) -> None:
        self._inputs = inputs
        self._active: dict[str, _Active] = {}
        self._ended: dict[str, list[GrantEnd]] = {}
        self._planners: dict[str, str] = {}
        self._silent_until: dict[str, float] = {}
        self._has_ended = trio.Event()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the planner's handlers to peers."""
        planner = self._inputs.planner
        peer_routes.add(PLAN_PATH, PlanRequest, planner.answer_plan)
        peer_routes.add(ENDED_PATH, EndedPlans, planner.answer_ended)
        peer_routes.add(ACTIVE_PATH, ActivePlans, planner.answer_active)

    async def place(
        self,
        work: Work,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[Placement, Failure]:
        """Return where a prompt is sent, or why it isn't."""
        request = self._make_request(work, excluded)
        planner = self._planner(work.service)
        if planner is None:
            answer = self._inputs.planner.plan(request)
        else:
            answer = await self._ask(planner, request)
        return answer.bind(lambda plan: self._use(plan, request, work))

    def release(
        self,
        work: Work,
        placement: Placement,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        """End a plan; ``failed`` lists engines that failed it."""
        names = tuple(name_of(endpoint) for endpoint in failed)
        ended = GrantEnd(grant=placement.grant, failed=names)
        self._active.pop(placement.grant, None)
        self._inputs.planner.end(work.service, (ended,))
        if self._planner(work.service) is not None:
            self._ended.setdefault(work.service, []).append(ended)
            self._has_ended.set()

    async def run(self) -> None:
        """Tell planners of ended plans until cancelled."""
        while True:
            await self._has_ended.wait()
            await trio.sleep(TELL_SECONDS)
            self._has_ended = trio.Event()
            for service in tuple(self._ended):
                await self._tell_ended(service)

    def _make_request(
        self,
        work: Work,
        excluded: frozenset[tuple[str, int]],
    ) -> PlanRequest:
        prompt, answer = _USUAL_PROMPT_TOKENS, _USUAL_ANSWER_TOKENS
        if work.size is not None:
            prompt, answer = work.size.prompt_tokens, work.size.answer_tokens
        now = self._inputs.clock()
        passed = now - work.arrived_at
        return PlanRequest(
            service=work.service,
            prompt_tokens=prompt,
            answer_tokens=answer,
            pause_seconds=work.route.pause_seconds,
            target_seconds=max(0.1, work.route.target_seconds - passed),
            seconds_left=min(
                work.deadline - now,
                work.route.patience_seconds - passed,
            ),
            hold_seconds=work.deadline - now,
            failure_domain=self._inputs.node.failure_domain,
            excluded=tuple(
                EndpointName(name=name, lifetime=lifetime)
                for name, lifetime in excluded
            ),
            ended=tuple(self._ended.pop(work.service, ())),
        )

    def _planner(self, service: str) -> Node | None:
        """Return the entry that plans for a service; ``None`` is this one."""
        now = self._inputs.clock()
        names = {
            entry.name: entry
            for entry in self._inputs.live_entries()
            if self._silent_until.get(entry.name, now) <= now
        }
        chosen = choose(f'planner/{service}', names, 1)
        if not chosen or chosen[0] == self._inputs.node.name:
            return None
        return names[chosen[0]]

    async def _ask(
        self,
        planner: Node,
        request: PlanRequest,
    ) -> Result[Plan, Failure]:
        if self._planners.get(request.service) != planner.name:
            await self._tell_active(planner, request.service)
        answer = await self._inputs.call(
            planner.peer_address,
            PLAN_PATH,
            request,
            Plan,
            timeout_seconds=PLAN_SECONDS,
        )
        if answer.is_ok() or _is_decision(answer.error):
            return answer
        self._note_silent(planner, answer.error)
        return self._inputs.planner.plan(request)

    def _note_silent(self, planner: Node, failure: Failure) -> None:
        telemetry.count('planner_silent', reason=failure.reason)
        note(
            'planner out of reach, planning alone',
            planner=planner.name,
            reason=failure.reason,
        )
        if failure.reason is Reason.CONNECT_FAILED:
            self._inputs.note_refused(planner.name)
        until = self._inputs.clock() + SILENT_SECONDS
        self._silent_until[planner.name] = until

    def _use(
        self,
        plan: Plan,
        request: PlanRequest,
        work: Work,
    ) -> Result[Placement, Failure]:
        writer = self._find(plan.writer)
        helpers = [self._find(each) for each in plan.helpers]
        if writer is None or None in helpers:
            self._drop(plan, work.service)
            return Error(
                not_run(
                    Reason.ENDPOINT_LEAVING,
                    'the plan names an engine that is not known here',
                ),
            )
        if plan.grant not in self._active:
            self._active[plan.grant] = _Active(
                plan=plan,
                request=request,
                since=self._inputs.clock(),
            )
        if self._planner(work.service) is not None:
            self._inputs.planner.enter(plan, request)
        telemetry.count('placements', parts=str(1 + len(helpers)))
        return Ok(_make_placement(plan, writer, helpers, work))

    def _drop(self, plan: Plan, service: str) -> None:
        ended = GrantEnd(grant=plan.grant)
        self._inputs.planner.end(service, (ended,))
        self._ended.setdefault(service, []).append(ended)
        self._has_ended.set()

    def _find(self, name: EndpointName) -> ListedEndpoint | None:
        found = self._inputs.view.find(name.name, name.lifetime)
        if found is None or not self._inputs.view.is_usable(found):
            return None
        return found

    async def _tell_ended(self, service: str) -> None:
        ended = tuple(self._ended.pop(service, ()))
        planner = self._planner(service)
        if not ended or planner is None:
            return
        answer = await self._inputs.call(
            planner.peer_address,
            ENDED_PATH,
            EndedPlans(service=service, ended=ended),
            Noted,
            timeout_seconds=_TELL_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            # What it didn't hear of ends there when it is overdue.
            telemetry.count('plans_untold', reason=answer.error.reason)

    async def _tell_active(self, planner: Node, service: str) -> None:
        """Tell a planner that is new to this entry what is in force."""
        self._planners[service] = planner.name
        now = self._inputs.clock()
        active = tuple(
            ActivePlan(
                plan=each.plan,
                request=each.request,
                age_seconds=now - each.since,
            )
            for each in self._active.values()
            if each.request.service == service
        )
        if not active:
            return
        await self._inputs.call(
            planner.peer_address,
            ACTIVE_PATH,
            ActivePlans(service=service, active=active),
            Noted,
            timeout_seconds=PLAN_SECONDS,
        )


def _is_decision(failure: Failure) -> bool:
    """Tell a planner's refusal from a planner that could not be asked."""
    return failure.reason in {
        Reason.NO_ENDPOINT,
        Reason.NO_MEMORY,
        Reason.OVERLOADED,
    }


def _make_placement(
    plan: Plan,
    writer: ListedEndpoint,
    helpers: list[ListedEndpoint],
    work: Work,
) -> Placement:
    by_name = {name_of(each): each for each in (writer, *helpers)}
    reserved = tuple(
        (by_name[each.endpoint], each.tokens) for each in plan.reserved
    )
    return Placement(
        endpoint=writer,
        helpers=tuple(Helper(endpoint=each) for each in helpers),
        reserved=reserved,
        urgency=min(_PRIORITIES, work.priority),
        grant=plan.grant,
        delay_seconds=plan.delay_seconds,
        read_seconds=plan.read_seconds,
    )
