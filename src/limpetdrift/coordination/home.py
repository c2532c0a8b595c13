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
from limpetdrift.coordination.expiry import (
    MAX_POLL_SECONDS,
    drop_abandoned,
    drop_overdue,
)
from limpetdrift.coordination.home_reports import (
    HomedEndpoint,
    read_reports,
)
from limpetdrift.coordination.peers import PeerHandler, PeerRoutes
from limpetdrift.coordination.policies import Policy
from limpetdrift.protocol.engine_management import EngineManagementCalls
from limpetdrift.protocol.grants import (
    Bid,
    BidRequest,
    Grant,
    GrantPoll,
    GrantRelease,
    GrantRequest,
    PlacementPath,
    ReleaseReply,
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
_IDLE_ROUNDS = 30
_MIN_RETRY_AFTER_SECONDS = 0.5


def grant_id_of(request: PlacementRequest) -> str:
    """Return the name of the place of one attempt at any endpoint."""
    return f'{request.request_key}/{request.attempt}'


class HomeServer:
    """Queues of the endpoints that this entry is home of.

    ``run`` polls the engines' reports and grants as time passes; the handlers
    answer peers, and this process's own placer calls them directly.
    """

    def __init__(
        self, *, policy: Policy, reports: EngineManagementCalls
    ) -> None:
        self.policy = policy
        self.reports = reports
        self._homed: dict[str, HomedEndpoint] = {}
        self._nursery: trio.Nursery | None = None
        self.handlers: dict[str, PeerHandler] = {
            PlacementPath.BID: self.bid,
            PlacementPath.GRANT: self.grant,
            PlacementPath.POLL: self.poll,
            PlacementPath.RELEASE: self.release,
        }

    def register(self, routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        routes.add(PlacementPath.BID, BidRequest, self.bid)
        routes.add(PlacementPath.GRANT, GrantRequest, self.grant)
        routes.add(PlacementPath.POLL, GrantPoll, self.poll)
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
            homed = HomedEndpoint(endpoint=endpoint)
            self._homed[endpoint.name] = homed
            if self._nursery is not None:
                self._nursery.start_soon(self._look_after, homed)
        homed.idle_rounds = 0
        return homed.queue

    def queues(self) -> dict[str, EndpointQueue]:
        """Return all queues by endpoint name, for status and metrics."""
        return {name: homed.queue for name, homed in self._homed.items()}

    async def bid(self, message: BidRequest) -> Result[Bid, Failure]:
        """Return the best estimate of when one could give the first token."""
        with trio.move_on_after(FIRST_REPORT_SECONDS):
            await self._first_reports(message.endpoints)
        bids = [self._bid_for(each, message) for each in message.endpoints]
        fitting = [bid for bid in bids if bid.fits] or bids
        if not fitting:
            return Error(not_run(Reason.NO_ENDPOINT, 'no endpoint was named'))
        return Ok(self.policy.choose(message.request, fitting))

    async def grant(self, message: GrantRequest) -> Result[Grant, Failure]:
        """Take a place in the queue, once; wait for the grant."""
        queue = self.queue_of(message.endpoint)
        ticket = queue.find(grant_id_of(message.request))
        if ticket is None:
            cached = queue.match(message.request)
            ticket = _make_ticket(self.policy, message.request, cached)
            refusal = _refusal(queue, ticket)
            if refusal is not None:
                return Error(refusal)
            ticket.owner = message.owner
            ticket.incarnation = message.incarnation
            queue.wait(ticket)
            self._pump(queue)
        return await _wait(queue, ticket, message.poll_seconds)

    async def poll(self, message: GrantPoll) -> Result[Grant, Failure]:
        """Keep a place in the queue; wait for the grant."""
        queue = self.queue_of(message.endpoint)
        ticket = queue.find(message.grant_id)
        if ticket is None:
            unknown = Grant(
                granted=False,
                grant_id=message.grant_id,
                known=False,
            )
            return Ok(unknown)
        return await _wait(queue, ticket, message.poll_seconds)

    async def release(
        self,
        message: GrantRelease,
    ) -> Result[ReleaseReply, Failure]:
        """Take a grant or a place back."""
        queue = self.queue_of(message.endpoint)
        queue.advance_prefill()
        known = queue.remove(message.grant_id) is not None
        self._pump(queue)
        return Ok(ReleaseReply(known=known))

    async def _first_reports(self, endpoints: tuple[Endpoint, ...]) -> None:
        for endpoint in endpoints:
            self.queue_of(endpoint)
            await self._homed[endpoint.name].reported.wait()

    def _bid_for(self, endpoint: Endpoint, message: BidRequest) -> Bid:
        queue = self.queue_of(endpoint)
        queue.advance_prefill()
        samples = message.samples
        cached = queue.prefixes.matched_samples(samples.depths, samples.blocks)
        ticket = _make_ticket(self.policy, message.request, cached)
        speed = queue.speed.prefill_tokens_per_second
        return Bid(
            endpoint=endpoint,
            first_token_seconds=expected_seconds(queue, ticket),
            work_seconds=ticket.uncached_tokens / speed,
            outstanding_tokens=queue.outstanding_tokens,
            cached_tokens=ticket.cached_tokens,
            memory_tokens=queue.ledger.capacity_tokens,
            fits=ticket.memory_tokens <= queue.ledger.capacity_tokens,
        )

    def _pump(self, queue: EndpointQueue) -> None:
        queue.advance_prefill()
        if trio.current_time() - queue.waiting.reordered_at >= REORDER_SECONDS:
            drop_abandoned(queue)
            queue.waiting.reorder(_renewer(self.policy))
        queue.earmarked_tokens = 0
        is_full = False
        for ticket in queue.waiting:
            is_full = is_full or self.policy.is_full(ticket, queue)
            may_start = ticket.request.memory_only or not is_full
            if may_start and self.policy.admits(ticket, queue):
                queue.grant(ticket)
            elif may_gather(ticket):
                queue.earmarked_tokens += gathered(queue, ticket)

    async def _look_after(self, homed: HomedEndpoint) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_pumping, homed)
            while homed.idle_rounds < _IDLE_ROUNDS:
                await read_reports(homed, self.reports)
                drop_overdue(homed.queue)
                self._pump(homed.queue)
                homed.idle_rounds += homed.queue.empty
                await trio.sleep(REPORT_SECONDS)
            self._homed.pop(homed.endpoint.name, None)
            nursery.cancel_scope.cancel()

    async def _keep_pumping(self, homed: HomedEndpoint) -> None:
        while True:
            await homed.queue.arrival.wait()
            while homed.queue.waiting.count:
                await trio.sleep(PUMP_SECONDS)
                self._pump(homed.queue)
            homed.queue.arrival = trio.Event()


def _refusal(queue: EndpointQueue, ticket: Ticket) -> Failure | None:
    if ticket.memory_tokens > queue.ledger.capacity_tokens:
        return not_run(Reason.NO_MEMORY, 'larger than the endpoint')
    queue.advance_prefill()
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


async def _wait(
    queue: EndpointQueue,
    ticket: Ticket,
    seconds: float,
) -> Result[Grant, Failure]:
    ticket.polled_at = trio.current_time()
    with trio.move_on_after(min(seconds, MAX_POLL_SECONDS)):
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


def _make_ticket(
    policy: Policy,
    request: PlacementRequest,
    cached_tokens: int,
) -> Ticket:
    now = trio.current_time()
    ticket = Ticket(
        grant_id=grant_id_of(request),
        request=request,
        owner='',
        incarnation=0,
        arrived_at=now,
        deadline_at=now + request.deadline_in_seconds,
        polled_at=now,
        cached_tokens=min(cached_tokens, request.prompt_tokens),
        priority=policy.priority(request),
    )
    ticket.place = policy.queue_key(ticket)
    return ticket


def _renewer(policy: Policy) -> Callable[[Ticket], None]:
    def renew(ticket: Ticket) -> None:
        ticket.priority = policy.age(ticket)
        ticket.place = policy.queue_key(ticket)

    return renew
