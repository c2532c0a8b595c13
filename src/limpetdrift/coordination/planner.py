"""Plans which engine decodes an answer and which engines prefill its prompt.

One entry, the planner, plans for all engines of a group (planning_groups): the
live one that started first. So no election is needed, and entries that join
don't replace it. If two entries plan at once, only efficiency suffers. Every
entry keeps a ledger for each service, with all plans of the groups that it
plans for and with its own plans otherwise, so that it can plan alone while the
planner is unreachable.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.endpoint_permits import (
    EndpointPermits,
    ShareOfLimit,
)
from limpetdrift.coordination.engine_cost_model import prefill_seconds
from limpetdrift.coordination.prompt_splitting import (
    Split,
    choose_split,
    start_slack,
    stream_worth,
)
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.coordination.scheduling.admission import Admission
from limpetdrift.coordination.scheduling.returns import MIN_RETRY_AFTER_SECONDS
from limpetdrift.logs import note
from limpetdrift.protocol.plans import (
    Acknowledgement,
    ActivePlans,
    EndedPlan,
    EndedPlans,
    EndpointId,
    EngineGroup,
    Plan,
    PlanRequest,
    ReservedTokens,
)
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import PEER_SOURCE, EndpointView
from limpetdrift.state.engine_ledger import (
    Booking,
    EngineLedger,
    PlanLease,
    StreamUse,
)
from limpetdrift.state.rate_budget import LEADING_SHARE

FindCostModel = Callable[[str], EngineCostModel | None]


@dataclass(frozen=True, kw_only=True)
class PlannerInputs:
    """The data from which plans are made.

    ``name``, the entry's name, is the prefix of its grants. ``clock`` returns
    seconds. ``share_of`` is that of ``EndpointPermits``.
    """

    name: str
    view: EndpointView
    find_cost_model: FindCostModel
    clock: Callable[[], float]
    share_of: ShareOfLimit = lambda endpoint: LEADING_SHARE


class Planner:
    """Makes plans from this entry's ledgers, one for each service."""

    def __init__(self, *, inputs: PlannerInputs) -> None:
        self._inputs = inputs
        self._ledgers: dict[str, EngineLedger] = {}
        self._orders: dict[
            tuple[str, EngineGroup], tuple[ListedEndpoint, ...]
        ] = {}
        self._orders_version = -1
        self._grant_numbers = count()
        self.permits = EndpointPermits(
            view=inputs.view, clock=inputs.clock, share_of=inputs.share_of
        )
        self.admission = Admission(
            clock=inputs.clock, find_cost_model=inputs.find_cost_model
        )

    def ledger(self, service: str) -> EngineLedger:
        """Return the ledger of a service."""
        found = self._ledgers.get(service)
        if found is None:
            found = EngineLedger(clock=self._inputs.clock)
            self._ledgers[service] = found
        return found

    def plan(
        self, request: PlanRequest, *, is_decider: bool = True
    ) -> Result[Plan, Failure]:
        """Choose engines for a prompt and book them.

        Plans that the request reports as ended are dropped first, and engines
        that it reports as leaving are not used again. Those that limit their
        rate are used within it, and not at all unless this entry
        ``is_decider``. Fails with ``NO_ENDPOINT`` or ``OVERLOADED``.
        """
        self.end(request.service, request.ended)
        self._mark_leaving(request.leaving)
        cost_model = self._inputs.find_cost_model(request.service)
        endpoints = self._candidates(request)
        if cost_model is None or not endpoints:
            return Error(
                not_run(
                    Reason.NO_ENDPOINT,
                    request.service,
                    retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
                ),
            )
        permits = self.permits
        callable_now = (
            permits.open_only(endpoints)
            if is_decider
            else permits.unlimited_only(endpoints)
        )
        if not callable_now:
            return Error(permits.refuse(request.service, endpoints))
        usages = permits.with_calls_left(
            self.ledger(request.service).usages(callable_now)
        )
        split = choose_split(request, usages, cost_model)
        refusal = self.admission.find_refusal(split, usages, request)
        if refusal is not None:
            return Error(refusal)
        grant = '.'.join((self._inputs.name, str(next(self._grant_numbers))))
        plan = _make_plan(grant, split, request, _take_permits(permits, split))
        self.book_plan(plan, request)
        return Ok(plan)

    def book_plan(
        self,
        plan: Plan,
        request: PlanRequest,
        age_seconds: float = 0.0,
    ) -> None:
        """Book a plan that was made ``age_seconds`` ago.

        Prefill that must be over by now is left out.
        """
        remaining_seconds = plan.hold_seconds - age_seconds
        if remaining_seconds <= 0:
            return
        self.admission.charge(request, age_seconds)
        self.ledger(request.service).book(
            PlanLease(
                name=plan.grant, holder=request.entry, seconds=remaining_seconds
            ),
            self._bookings(plan, request, age_seconds),
        )

    def forget_entry(self, name: str) -> None:
        """Drop the plans of an entry that died."""
        for ledger in self._ledgers.values():
            ledger.end_all_of(name)

    def end(self, service: str, ended: tuple[EndedPlan, ...]) -> None:
        """Drop plans, and record the engines that failed them."""
        ledger = self.ledger(service)
        for each in ended:
            ledger.end(each.grant)
            for failed in each.failed:
                ledger.mark_failing((failed.name, failed.lifetime))
                note('engine failed', engine=failed.name, plan=each.grant)

    async def answer_plan(self, message: PlanRequest) -> Result[Plan, Failure]:
        """Answer a peer's request for a plan."""
        telemetry.count('plans', asked_by='peer')
        return self.plan(message)

    async def answer_ended(
        self, message: EndedPlans
    ) -> Result[Acknowledgement, Failure]:
        """Drop a peer's ended plans."""
        self.end(message.service, message.ended)
        self._mark_leaving(message.leaving)
        return Ok(Acknowledgement())

    async def answer_active(
        self,
        message: ActivePlans,
    ) -> Result[Acknowledgement, Failure]:
        """Book the plans that a peer got from an earlier planner."""
        for each in message.active:
            self.book_plan(each.plan, each.request, each.age_seconds)
        if message.usage is not None:
            self.admission.merge_report(message.usage)
        return Ok(Acknowledgement())

    def leaving(self, service: str) -> tuple[EndpointId, ...]:
        """Return the engines that peers must be told of as leaving."""
        ahead_of_list = self._inputs.view.leaving_ahead_of_list(service)
        return tuple(map(endpoint_id_of, ahead_of_list))

    def _mark_leaving(self, leaving: tuple[EndpointId, ...]) -> None:
        view = self._inputs.view
        for each in leaving:
            endpoint = view.find(each.name, each.lifetime)
            if endpoint is not None:
                view.mark_leaving(endpoint, PEER_SOURCE)

    def _candidates(self, request: PlanRequest) -> tuple[ListedEndpoint, ...]:
        """Return the usable engines, in an order specific to this entry."""
        ordered = self._ordered_engines(request.service, request.group)
        if not request.excluded:
            return ordered
        excluded = {(each.name, each.lifetime) for each in request.excluded}
        return tuple(each for each in ordered if each.identity not in excluded)

    def _ordered_engines(
        self, service: str, group: EngineGroup
    ) -> tuple[ListedEndpoint, ...]:
        """Return all usable engines of a group.

        With an order common to all entries, those that plan alone would fill
        the same engines. The order is computed once for each list of engines.
        """
        view = self._inputs.view
        if view.version != self._orders_version:
            self._orders.clear()
            self._orders_version = view.version
        found = self._orders.get((service, group))
        if found is None:
            by_name = {
                each.name: each
                for each in view.usable(service)
                if group.contains(each.failure_domain, each.name)
            }
            names = choose_by_hash(self._inputs.name, by_name, len(by_name))
            found = tuple(by_name[name] for name in names)
            self._orders[(service, group)] = found
        return found

    def _bookings(
        self,
        plan: Plan,
        request: PlanRequest,
        age_seconds: float,
    ) -> list[Booking]:
        """Return what remains of a plan at each engine in this entry's view."""
        cost_model = self._inputs.find_cost_model(request.service)
        part_seconds = (
            _part_seconds(plan, request, cost_model) if cost_model else 0
        )
        part_seconds -= max(0, age_seconds - plan.delay_seconds)
        stream = StreamUse(
            pause_seconds=request.pause_seconds,
            patience_seconds=request.patience_seconds,
            worth=stream_worth(request.prompt_tokens),
        )
        bookings = []
        for engine in (plan.writer, *plan.helpers):
            endpoint = self._inputs.view.find(engine.name, engine.lifetime)
            if endpoint is not None:
                bookings.append(
                    Booking(
                        endpoint=endpoint,
                        read_seconds=max(0, part_seconds),
                        delay_seconds=max(0, plan.delay_seconds - age_seconds),
                        memory_tokens=_memory_tokens(plan, request, engine),
                        stream=stream if engine == plan.writer else None,
                    ),
                )
        return bookings


def endpoint_id_of(endpoint: ListedEndpoint) -> EndpointId:
    """Return the identifier of an endpoint in messages."""
    return EndpointId(name=endpoint.name, lifetime=endpoint.lifetime)


def _part_seconds(
    plan: Plan, request: PlanRequest, cost_model: EngineCostModel
) -> float:
    parts = 1 + len(plan.helpers)
    prefill = prefill_seconds(cost_model, request.prompt_tokens, parts)
    return prefill + start_slack(cost_model, parts)


def _memory_tokens(
    plan: Plan,
    request: PlanRequest,
    engine: EndpointId,
) -> int:
    """Return the memory that a plan takes at one engine.

    The writer holds whatever is not reserved at helpers.
    """
    reserved = {each.endpoint: each.tokens for each in plan.reserved}
    if engine != plan.writer:
        return reserved.get(engine, 0)
    return request.memory_tokens - sum(reserved.values())


def _take_permits(
    permits: EndpointPermits, split: Split
) -> tuple[EndpointId, ...]:
    """Count a plan's calls; return the engines that limit their rate."""
    return tuple(
        endpoint_id_of(usage.endpoint)
        for usage in (split.writer, *split.helpers)
        if permits.take(usage.endpoint)
    )


def _make_plan(
    grant: str,
    split: Split,
    request: PlanRequest,
    permitted: tuple[EndpointId, ...],
) -> Plan:
    return Plan(
        grant=grant,
        writer=endpoint_id_of(split.writer.endpoint),
        helpers=tuple(endpoint_id_of(each.endpoint) for each in split.helpers),
        reserved=tuple(
            ReservedTokens(
                endpoint=endpoint_id_of(usage.endpoint), tokens=tokens
            )
            for usage, tokens in split.reserved
        ),
        delay_seconds=split.delay_seconds,
        read_seconds=split.first_token_seconds,
        hold_seconds=request.hold_seconds,
        cost=split.cost,
        permitted=permitted,
    )
