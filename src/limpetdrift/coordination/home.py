"""The home of endpoints: bids, grants and late binding.

An asker's long poll keeps its place in an endpoint's queue. The home grants a
ticket only when the policy says that the engine can start it, so that a long
queue stands here, where it can be ordered, and not in the engine. A place
whose owner stops polling, and a grant that the engine does not list after a
while, come back by themselves.
"""

from dataclasses import dataclass, field

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerHandler, PeerRoutes
from limpetdrift.coordination.policies import Policy
from limpetdrift.protocol.enginereports import (
    Allocation,
    EngineLoad,
    EngineReports,
)
from limpetdrift.protocol.grants import (
    Bid,
    BidRequest,
    Grant,
    GrantRelease,
    GrantRequest,
    PlacementPath,
    Released,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.state.prefixes import BLOCK_TOKENS
from limpetdrift.state.queue import EndpointQueue, Ticket

PUMP_SECONDS = 0.02
REPORT_SECONDS = 1.0
FIRST_REPORT_SECONDS = 0.1
UNUSED_GRANT_SECONDS = 5.0
ABANDONED_POLL_SECONDS = 3.0
_MAX_POLL_SECONDS = 5.0
GATHER_AFTER_SECONDS = 1.0
GATHER_ALL_AFTER_SECONDS = 8.0
_GATHERED_SHARE = 0.6
_HOLD = 'hold'
_IDLE_ROUNDS = 30
_MIN_RETRY_AFTER_SECONDS = 0.5


def grant_id_of(request: PlacementRequest) -> str:
    """Return the name of the place of one attempt at any endpoint."""
    return f'{request.request_key}/{request.attempt}'


@dataclass(kw_only=True, slots=True)
class _Homed:
    """An endpoint that this entry was asked about, and its queue."""

    endpoint: Endpoint
    queue: EndpointQueue = field(default_factory=EndpointQueue)
    incarnation: int = 0
    idle_rounds: int = 0
    reported: trio.Event = field(default_factory=trio.Event)


class Home:
    """Queues of the endpoints that this entry is home of.

    ``run`` polls the engines' reports and grants as time passes; the handlers
    answer peers, and this process's own placer calls them directly.
    """

    def __init__(self, *, policy: Policy, reports: EngineReports) -> None:
        self.policy = policy
        self.reports = reports
        self._homed: dict[str, _Homed] = {}
        self._nursery: trio.Nursery | None = None
        self.handlers: dict[str, PeerHandler] = {
            PlacementPath.BID: self.bid,
            PlacementPath.GRANT: self.grant,
            PlacementPath.RELEASE: self.release,
        }

    def mount(self, routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        routes.add(PlacementPath.BID, BidRequest, self.bid)
        routes.add(PlacementPath.GRANT, GrantRequest, self.grant)
        routes.add(PlacementPath.RELEASE, GrantRelease, self.release)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Look after the endpoints until cancelled, a task for each."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for homed in self._homed.values():
                nursery.start_soon(self._look_after, homed)
            nursery.start_soon(trio.sleep_forever)
            task_status.started()

    def queue_of(self, endpoint: Endpoint) -> EndpointQueue:
        """Return the endpoint's queue, a new one on first use."""
        homed = self._homed.get(endpoint.name)
        if homed is None:
            homed = _Homed(endpoint=endpoint)
            self._homed[endpoint.name] = homed
            if self._nursery is not None:
                self._nursery.start_soon(self._look_after, homed)
        homed.idle_rounds = 0
        return homed.queue

    def queues(self) -> dict[str, EndpointQueue]:
        """Return all queues by endpoint name, for status and metrics."""
        return {name: homed.queue for name, homed in self._homed.items()}

    async def bid(self, message: BidRequest) -> Result[Bid, Failure]:
        """Estimate when the endpoint could give the first token."""
        queue = self.queue_of(message.endpoint)
        with trio.move_on_after(FIRST_REPORT_SECONDS):
            await self._homed[message.endpoint.name].reported.wait()
        queue.drain()
        ticket = self._ticket(queue, message.request)
        speed = queue.speed.prefill_tokens_per_second
        return Ok(
            Bid(
                endpoint=message.endpoint,
                first_token_seconds=expected_seconds(
                    self.policy,
                    queue,
                    ticket,
                ),
                work_seconds=ticket.uncached_tokens / speed,
                outstanding_tokens=queue.outstanding_tokens,
                cached_tokens=ticket.cached_tokens,
                memory_tokens=queue.ledger.capacity_tokens,
                fits=ticket.memory_tokens <= queue.ledger.capacity_tokens,
            ),
        )

    async def grant(self, message: GrantRequest) -> Result[Grant, Failure]:
        """Take or keep a place in the queue; wait for the grant."""
        queue = self.queue_of(message.endpoint)
        ticket = queue.find(grant_id_of(message.request))
        if ticket is None:
            ticket = self._ticket(queue, message.request)
            refusal = self._refusal(queue, ticket)
            if refusal is not None:
                return Error(refusal)
            ticket.owner = message.owner
            ticket.incarnation = message.incarnation
            queue.wait(ticket)
            self._pump(queue)
        ticket.polled_at = trio.current_time()
        with trio.move_on_after(min(message.poll_seconds, _MAX_POLL_SECONDS)):
            await ticket.settled.wait()
        ticket.polled_at = trio.current_time()
        if queue.find(ticket.grant_id) is not ticket:
            return Error(not_run(Reason.CANCELLED, 'the place was given up'))
        return Ok(
            Grant(
                granted=ticket.granted_at is not None,
                grant_id=ticket.grant_id,
                priority=ticket.priority,
                cached_tokens=ticket.cached_tokens,
            ),
        )

    async def release(
        self,
        message: GrantRelease,
    ) -> Result[Released, Failure]:
        """Take a grant or a place back."""
        queue = self.queue_of(message.endpoint)
        queue.drain()
        known = queue.remove(message.grant_id) is not None
        self._pump(queue)
        return Ok(Released(known=known))

    def _ticket(self, queue: EndpointQueue, request: PlacementRequest):
        now = trio.current_time()
        return Ticket(
            grant_id=grant_id_of(request),
            request=request,
            owner='',
            incarnation=0,
            arrived_at=now,
            deadline_at=now + request.deadline_in_seconds,
            polled_at=now,
            cached_tokens=queue.match(request),
            priority=self.policy.priority(request),
        )

    def _refusal(self, queue: EndpointQueue, ticket: Ticket) -> Failure | None:
        if ticket.memory_tokens > queue.ledger.capacity_tokens:
            return not_run(Reason.NO_MEMORY, 'larger than the endpoint')
        queue.drain()
        wait = expected_seconds(self.policy, queue, ticket)
        allowed = ticket.request.deadline_in_seconds
        if wait <= allowed:
            return None
        telemetry.count('refusals', reason=Reason.OVERLOADED)
        return not_run(
            Reason.OVERLOADED,
            f'expected wait of {wait:.1f} s is over the deadline',
            retry_after_seconds=max(_MIN_RETRY_AFTER_SECONDS, wait - allowed),
        )

    def _pump(self, queue: EndpointQueue) -> None:
        queue.drain()
        _drop_abandoned(queue)
        queue.gathering_tokens = 0
        for ticket in sorted(queue.waiting.values(), key=self.policy.order):
            ticket.priority = self.policy.age(ticket)
            if self.policy.admits(ticket, queue):
                queue.grant(ticket)
            elif _may_gather(ticket):
                queue.gathering_tokens += _gathered(queue, ticket)

    async def _look_after(self, homed: _Homed) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_pumping, homed)
            while homed.idle_rounds < _IDLE_ROUNDS:
                await self._read_reports(homed)
                homed.idle_rounds += homed.queue.empty
                await trio.sleep(REPORT_SECONDS)
            self._homed.pop(homed.endpoint.name, None)
            nursery.cancel_scope.cancel()

    async def _keep_pumping(self, homed: _Homed) -> None:
        while True:
            await homed.queue.arrival.wait()
            while homed.queue.waiting:
                await trio.sleep(PUMP_SECONDS)
                self._pump(homed.queue)
            homed.queue.arrival = trio.Event()

    async def _read_reports(self, homed: _Homed) -> None:
        address = homed.endpoint.address
        load = await self.reports.load(address)
        if load.is_ok():
            _take_load(homed, load.ok)
            homed.reported.set()
        allocations = await self.reports.allocations(address)
        if allocations.is_ok():
            _take_allocations(homed.queue, allocations.ok)
        _drop_overdue(homed.queue)
        self._pump(homed.queue)


def expected_seconds(
    policy: Policy,
    queue: EndpointQueue,
    ticket: Ticket,
) -> float:
    """Return the expected time to the ticket's first token."""
    own_order = policy.order(ticket)
    ahead = sum(
        each.uncached_tokens
        for each in queue.waiting.values()
        if policy.order(each) <= own_order
    )
    ahead += queue.backlog_tokens(ticket.priority) + ticket.uncached_tokens
    ahead += queue.step_wait_tokens(ticket.uncached_tokens)
    return ahead / queue.speed.prefill_tokens_per_second + _memory_seconds(
        queue,
        ticket,
    )


def _may_gather(ticket: Ticket) -> bool:
    waited = trio.current_time() - ticket.arrived_at
    return waited >= GATHER_AFTER_SECONDS


def _gathered(queue: EndpointQueue, ticket: Ticket) -> float:
    """Return the memory to keep from later tickets, so that this one fits."""
    waited = trio.current_time() - ticket.arrived_at
    limit = queue.ledger.capacity_tokens * _GATHERED_SHARE
    # Only what can't fit otherwise may take the whole engine, and late.
    if ticket.memory_tokens > limit and waited > GATHER_ALL_AFTER_SECONDS:
        limit = queue.ledger.capacity_tokens
    room = max(0, limit - queue.gathering_tokens)
    return min(room, ticket.memory_tokens)


def _memory_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    """Estimate when enough memory comes free, from output limits."""
    free = queue.ledger.free_tokens - queue.gathering_tokens
    missing = ticket.memory_tokens - free
    if missing <= 0:
        return 0
    endings = sorted(
        (_ends_at(queue, each), each.memory_tokens)
        for each in queue.granted.values()
    )
    last = trio.current_time()
    for ends_at, tokens in endings:
        missing -= tokens
        last = max(last, ends_at)
        if missing <= 0:
            break
    return last - trio.current_time()


def _ends_at(queue: EndpointQueue, ticket: Ticket) -> float:
    speed = queue.speed
    prefill = ticket.uncached_tokens / speed.prefill_tokens_per_second
    decode = ticket.request.max_tokens * speed.step_seconds
    return (ticket.granted_at or trio.current_time()) + prefill + decode


def _take_load(homed: _Homed, load: EngineLoad) -> None:
    queue = homed.queue
    queue.speed.prefill_tokens_per_second = load.prefill_tokens_per_second
    queue.speed.step_seconds = load.step_seconds
    queue.ledger.capacity_tokens = load.memory_tokens
    queue.prefixes.resize(max(1, load.memory_tokens // BLOCK_TOKENS))
    if load.incarnation != homed.incarnation:
        homed.incarnation = load.incarnation
        queue.prefixes.clear()


def _take_allocations(
    queue: EndpointQueue,
    allocations: tuple[Allocation, ...],
) -> None:
    names = {_grant_of(each) for each in allocations}
    queue.ledger.foreign_tokens = sum(
        each.tokens
        for each in allocations
        if _grant_of(each) not in queue.granted
    )
    oldest = trio.current_time() - UNUSED_GRANT_SECONDS
    unused = [
        ticket.grant_id
        for ticket in queue.granted.values()
        if ticket.grant_id not in names and (ticket.granted_at or 0) < oldest
    ]
    for grant_id in unused:
        telemetry.count('grants_expired', cause='unused')
        queue.remove(grant_id)


def _grant_of(allocation: Allocation) -> str:
    key = allocation.request_key
    if allocation.kind == _HOLD:
        key = allocation.id
    return f'{key}/{allocation.attempt}'


def _drop_overdue(queue: EndpointQueue) -> None:
    # Covers an engine that never answers: nothing outlives its deadline.
    now = trio.current_time()
    overdue = [
        ticket.grant_id
        for ticket in queue.granted.values()
        if ticket.deadline_at + UNUSED_GRANT_SECONDS < now
    ]
    for grant_id in overdue:
        telemetry.count('grants_expired', cause='deadline')
        queue.remove(grant_id)


def _drop_abandoned(queue: EndpointQueue) -> None:
    now = trio.current_time()
    oldest = now - _MAX_POLL_SECONDS - ABANDONED_POLL_SECONDS
    gone = [
        ticket.grant_id
        for ticket in queue.waiting.values()
        if ticket.polled_at < oldest or ticket.deadline_at < now
    ]
    for grant_id in gone:
        telemetry.count('grants_expired', cause='abandoned')
        queue.remove(grant_id)
