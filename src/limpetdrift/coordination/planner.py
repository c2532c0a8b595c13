"""Plans for the engines of a service: who writes, who helps to read.

One entry plans for all: the live one that started first, so nobody elects
it and those that join don't move it. Two that plan at once cost efficiency
only. Every entry keeps a ledger, with all plans where it is the planner and
its own elsewhere, so that it can plan alone when the planner is out of reach.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.engine_cost_model import prefill_seconds
from limpetdrift.coordination.prompt_splitting import (
    Split,
    choose_split,
    start_slack,
    stream_worth,
)
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.plans import (
    Acknowledgement,
    ActivePlans,
    EndedPlan,
    EndedPlans,
    EndpointId,
    Plan,
    PlanRequest,
    ReservedTokens,
)
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.engine_ledger import (
    Booking,
    EngineLedger,
    EngineUsage,
    PlanLease,
    StreamUse,
)

# A plan whose first token is expected so late, as a share of the time left,
# is refused instead.
_LAST_START_SHARE = 0.9
# Callers that were refused come back when this share of a backlog is read.
_BACKLOG_SHARE = 0.5
_LEAST_RETRY_SECONDS = 0.3

FindCostModel = Callable[[str], EngineCostModel | None]


@dataclass(frozen=True, kw_only=True)
class PlannerInputs:
    """What plans are made from; ``name`` begins the grants' names."""

    name: str
    view: EndpointView
    find_cost_model: FindCostModel
    clock: Callable[[], float]


class Planner:
    """The ledgers of this entry, one for each service."""

    def __init__(self, *, inputs: PlannerInputs) -> None:
        self._inputs = inputs
        self._ledgers: dict[str, EngineLedger] = {}
        self._numbers = count()

    def ledger(self, service: str) -> EngineLedger:
        """Return the ledger of a service."""
        found = self._ledgers.get(service)
        if found is None:
            found = EngineLedger(clock=self._inputs.clock)
            self._ledgers[service] = found
        return found

    def plan(self, request: PlanRequest) -> Result[Plan, Failure]:
        """Choose engines for a prompt and book them."""
        self.end(request.service, request.ended)
        law = self._inputs.find_cost_model(request.service)
        endpoints = self._candidates(request)
        if law is None or not endpoints:
            return Error(
                not_run(
                    Reason.NO_ENDPOINT,
                    request.service,
                    retry_after_seconds=_LEAST_RETRY_SECONDS,
                ),
            )
        uses = self.ledger(request.service).uses(endpoints)
        split = choose_split(request, uses, law)
        refusal = _refuse(split, uses, request)
        if refusal is not None:
            return Error(refusal)
        grant = '.'.join((self._inputs.name, str(next(self._numbers))))
        plan = _make_plan(grant, split, request)
        self.book_plan(plan, request)
        return Ok(plan)

    def book_plan(
        self,
        plan: Plan,
        request: PlanRequest,
        age_seconds: float = 0.0,
    ) -> None:
        """Book a plan; reading that must be over by now is left out."""
        held = plan.hold_seconds - age_seconds
        if held <= 0:
            return
        self.ledger(request.service).book(
            PlanLease(name=plan.grant, holder=request.entry, seconds=held),
            self._bookings(plan, request, age_seconds),
        )

    def forget_entry(self, name: str) -> None:
        """Drop the plans of an entry that died."""
        for ledger in self._ledgers.values():
            ledger.end_of(name)

    def end(self, service: str, ended: tuple[EndedPlan, ...]) -> None:
        """Drop plans, and note which engines failed them."""
        ledger = self.ledger(service)
        for each in ended:
            ledger.end(each.grant)
            for failed in each.failed:
                ledger.note_failing((failed.name, failed.lifetime))

    async def answer_plan(self, message: PlanRequest) -> Result[Plan, Failure]:
        """Plan for a peer."""
        telemetry.count('plans', asked_by='peer')
        return self.plan(message)

    async def answer_ended(
        self, message: EndedPlans
    ) -> Result[Acknowledgement, Failure]:
        """Take in a peer's ended plans."""
        self.end(message.service, message.ended)
        return Ok(Acknowledgement())

    async def answer_active(
        self,
        message: ActivePlans,
    ) -> Result[Acknowledgement, Failure]:
        """Take in the plans that a peer had from an earlier planner."""
        for each in message.active:
            self.book_plan(each.plan, each.request, each.age_seconds)
        return Ok(Acknowledgement())

    def _candidates(self, request: PlanRequest) -> tuple[ListedEndpoint, ...]:
        """Return the engines in an order of this planner's own.

        Entries that plan alone would fill the same engines otherwise.
        """
        excluded = {(each.name, each.lifetime) for each in request.excluded}
        usable = self._inputs.view.usable(request.service)
        fresh = {
            each.name: each for each in usable if each.identity not in excluded
        }
        ordered = choose_by_hash(self._inputs.name, fresh, len(fresh))
        return tuple(fresh[name] for name in ordered)

    def _bookings(
        self,
        plan: Plan,
        request: PlanRequest,
        age_seconds: float,
    ) -> list[Booking]:
        """Return what is left of a plan at each engine known here."""
        law = self._inputs.find_cost_model(request.service)
        part = _part_seconds(plan, request, law) if law else 0
        part -= max(0, age_seconds - plan.delay_seconds)
        stream = StreamUse(
            pause_seconds=request.pause_seconds,
            patience_seconds=request.patience_seconds,
            worth=stream_worth(request.prompt_tokens),
        )
        bookings = []
        for name in (plan.writer, *plan.helpers):
            endpoint = self._inputs.view.find(name.name, name.lifetime)
            if endpoint is not None:
                bookings.append(
                    Booking(
                        endpoint=endpoint,
                        read_seconds=max(0, part),
                        delay_seconds=max(0, plan.delay_seconds - age_seconds),
                        memory_tokens=_memory_tokens(plan, request, name),
                        stream=stream if name == plan.writer else None,
                    ),
                )
        return bookings


def name_of(endpoint: ListedEndpoint) -> EndpointId:
    """Return the name by which messages tell of an endpoint."""
    return EndpointId(name=endpoint.name, lifetime=endpoint.lifetime)


def _part_seconds(
    plan: Plan, request: PlanRequest, law: EngineCostModel
) -> float:
    parts = 1 + len(plan.helpers)
    part = prefill_seconds(law, request.prompt_tokens, parts)
    return part + start_slack(law, parts)


def _memory_tokens(
    plan: Plan,
    request: PlanRequest,
    name: EndpointId,
) -> int:
    """Return what the plan takes at one engine; the writer has the rest."""
    reserved = {each.endpoint: each.tokens for each in plan.reserved}
    if name != plan.writer:
        return reserved.get(name, 0)
    return request.memory_tokens - sum(reserved.values())


def _refuse(
    split: Split | None,
    uses: tuple[EngineUsage, ...],
    request: PlanRequest,
) -> Failure | None:
    """Refuse what no engine can begin in its time.

    Answers more long prompts than can be read: those that would run out of
    time while they wait are told at once when places should be free.
    """
    if split is None:
        reason, detail = Reason.NO_MEMORY, 'memory of the engines is taken'
    elif split.first_token_seconds > request.seconds_left * _LAST_START_SHARE:
        reason, detail = Reason.OVERLOADED, 'would begin too late'
    else:
        return None
    backlog = sum(use.backlog_seconds for use in uses) / len(uses)
    return not_run(
        reason,
        detail,
        retry_after_seconds=max(
            _LEAST_RETRY_SECONDS,
            backlog * _BACKLOG_SHARE,
        ),
    )


def _make_plan(grant: str, split: Split, request: PlanRequest) -> Plan:
    return Plan(
        grant=grant,
        writer=name_of(split.writer.endpoint),
        helpers=tuple(name_of(each.endpoint) for each in split.helpers),
        reserved=tuple(
            ReservedTokens(endpoint=name_of(use.endpoint), tokens=tokens)
            for use, tokens in split.reserved
        ),
        delay_seconds=split.delay_seconds,
        read_seconds=split.first_token_seconds,
        hold_seconds=request.hold_seconds,
    )
