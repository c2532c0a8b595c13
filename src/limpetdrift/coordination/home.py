"""The home of endpoints: bids, grants and late binding.

An asker's long poll keeps its place in an endpoint's queue. The home grants a
ticket only when the policy says that the engine can start it, so that a long
queue stands here, where it can be ordered, and not in the engine. A place
whose owner stops polling, and a grant that the engine does not list after a
while, come back by themselves.
"""

from collections.abc import Callable

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.estimates import (
    expected_seconds,
    gathered,
    may_gather,
)
from limpetdrift.coordination.homereports import (
    UNUSED_GRANT_SECONDS,
    Homed,
    take_allocations,
    take_load,
)
from limpetdrift.coordination.peers import PeerHandler, PeerRoutes
from limpetdrift.coordination.policies import Policy
from limpetdrift.protocol.enginereports import EngineReports
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
from limpetdrift.state.queue import EndpointQueue
from limpetdrift.state.waiting import Ticket

PUMP_SECONDS = 0.02
REORDER_SECONDS = 0.5
REPORT_SECONDS = 1.0
FIRST_REPORT_SECONDS = 0.1
ABANDONED_POLL_SECONDS = 3.0
_MAX_POLL_SECONDS = 5.0
_IDLE_ROUNDS = 30
_MIN_RETRY_AFTER_SECONDS = 0.5


def grant_id_of(request: PlacementRequest) -> str:
    """Return the name of the place of one attempt at any endpoint."""
    return f'{request.request_key}/{request.attempt}'


class Home:
    """Queues of the endpoints that this entry is home of.

    ``run`` polls the engines' reports and grants as time passes; the handlers
    answer peers, and this process's own placer calls them directly.
    """

    def __init__(self, *, policy: Policy, reports: EngineReports) -> None:
        self.policy = policy
        self.reports = reports
        self._homed: dict[str, Homed] = {}
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
            homed = Homed(endpoint=endpoint)
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
                first_token_seconds=expected_seconds(queue, ticket),
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
        ticket = Ticket(
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
        ticket.place = self.policy.order(ticket)
        return ticket

    def _refusal(self, queue: EndpointQueue, ticket: Ticket) -> Failure | None:
        if ticket.memory_tokens > queue.ledger.capacity_tokens:
            return not_run(Reason.NO_MEMORY, 'larger than the endpoint')
        queue.drain()
        wait = expected_seconds(queue, ticket)
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
        if trio.current_time() - queue.waiting.reordered_at >= REORDER_SECONDS:
            _drop_abandoned(queue)
            queue.waiting.reorder(_renewer(self.policy))
        queue.gathering_tokens = 0
        is_full = False
        for ticket in queue.waiting:
            is_full = is_full or self.policy.is_full(ticket, queue)
            may_start = ticket.request.memory_only or not is_full
            if may_start and self.policy.admits(ticket, queue):
                queue.grant(ticket)
            elif may_gather(ticket):
                queue.gathering_tokens += gathered(queue, ticket)

    async def _look_after(self, homed: Homed) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_pumping, homed)
            while homed.idle_rounds < _IDLE_ROUNDS:
                await self._read_reports(homed)
                homed.idle_rounds += homed.queue.empty
                await trio.sleep(REPORT_SECONDS)
            self._homed.pop(homed.endpoint.name, None)
            nursery.cancel_scope.cancel()

    async def _keep_pumping(self, homed: Homed) -> None:
        while True:
            await homed.queue.arrival.wait()
            while homed.queue.waiting.count:
                await trio.sleep(PUMP_SECONDS)
                self._pump(homed.queue)
            homed.queue.arrival = trio.Event()

    async def _read_reports(self, homed: Homed) -> None:
        address = homed.endpoint.address
        load = await self.reports.load(address)
        if load.is_ok():
            take_load(homed, load.ok)
            homed.reported.set()
        allocations = await self.reports.allocations(address)
        if allocations.is_ok():
            take_allocations(homed.queue, allocations.ok)
        _drop_overdue(homed.queue)
        self._pump(homed.queue)


def _renewer(policy: Policy) -> Callable[[Ticket], None]:
    def renew(ticket: Ticket) -> None:
        ticket.priority = policy.age(ticket)
        ticket.place = policy.order(ticket)

    return renew


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
        for ticket in queue.waiting
        if ticket.polled_at < oldest or ticket.deadline_at < now
    ]
    for grant_id in gone:
        telemetry.count('grants_expired', cause='abandoned')
        queue.remove(grant_id)
