"""Serves the queues of the endpoints that this entry is home of.

A placer keeps its ticket in an endpoint's queue by long polls. The home
grants a ticket only when the policy decides that the engine can start it, so
that a long queue builds up here, where it can be reordered, and not in the
engine. A ticket that is no longer polled, and a grant that the engine does
not list after a grace period, expire.
"""

from collections.abc import Callable

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.homes.estimates import (
    expected_first_token_seconds,
    may_earmark,
    tokens_to_earmark,
)
from limpetdrift.coordination.homes.expiry import (
    MAX_LONG_POLL_SECONDS,
    drop_abandoned_tickets,
    drop_overdue_grants,
)
from limpetdrift.coordination.homes.home_reports import (
    HomedEndpoint,
    read_engine_reports,
)
from limpetdrift.coordination.homes.policies import Policy
from limpetdrift.coordination.peers import PeerHandler, PeerRoutes
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
from limpetdrift.state.queue import EndpointQueue
from limpetdrift.state.waiting import Ticket
from limpetdrift.verdict import Failure, Reason, not_run

# Interval at which waiting tickets are checked, as the estimates advance.
GRANT_INTERVAL_SECONDS = 0.02
# Interval at which waiting tickets are aged and sorted again.
REORDER_INTERVAL_SECONDS = 0.5
# Interval at which an engine's load and allocations are read.
REPORT_INTERVAL_SECONDS = 1.0
# Longest delay of a bid while the engines' first reports are awaited.
FIRST_REPORT_TIMEOUT_SECONDS = 0.1
# Rounds of reports with an empty queue before the queue is dropped.
_MAX_IDLE_ROUNDS = 30
_MIN_RETRY_AFTER_SECONDS = 0.5


def grant_id_of(request: PlacementRequest) -> str:
    """Return the grant id of an attempt, which is the same at any endpoint."""
    return f'{request.request_key}/{request.attempt}'


class HomeServer:
    """Keeps the queues of the endpoints that this entry is home of.

    ``run`` polls the engines' reports and grants waiting tickets. The
    handlers answer peers; the placer of this process calls them directly.
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
        """Register the handlers for calls from peers."""
        routes.add(PlacementPath.BID, BidRequest, self.bid)
        routes.add(PlacementPath.GRANT, GrantRequest, self.grant)
        routes.add(PlacementPath.POLL, GrantPoll, self.poll)
        routes.add(PlacementPath.RELEASE, GrantRelease, self.release)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve the endpoints until cancelled, with one task for each."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for homed in self._homed.values():
                nursery.start_soon(self._serve_endpoint, homed)
            nursery.start_soon(trio.sleep_forever)
            task_status.started()

    def queue_of(self, endpoint: Endpoint) -> EndpointQueue:
        """Return the endpoint's queue, which is created on first use."""
        homed = self._homed.get(endpoint.name)
        if homed is None:
            homed = HomedEndpoint(endpoint=endpoint)
            self._homed[endpoint.name] = homed
            if self._nursery is not None:
                self._nursery.start_soon(self._serve_endpoint, homed)
        homed.idle_rounds = 0
        return homed.queue

    def queues(self) -> dict[str, EndpointQueue]:
        """Return all queues by endpoint name, for status and metrics."""
        return {name: homed.queue for name, homed in self._homed.items()}

    async def bid(self, message: BidRequest) -> Result[Bid, Failure]:
        """Return the bid that the policy prefers among the endpoints asked for.

        If the request fits none of them, ``fits`` of the bid is false.
        """
        with trio.move_on_after(FIRST_REPORT_TIMEOUT_SECONDS):
            await self._await_first_reports(message.endpoints)
        bids = [self._bid_for(each, message) for each in message.endpoints]
        fitting = [bid for bid in bids if bid.fits] or bids
        if not fitting:
            return Error(not_run(Reason.NO_ENDPOINT, 'no endpoint was named'))
        return Ok(self.policy.choose_bid(message.request, fitting))

    async def grant(self, message: GrantRequest) -> Result[Grant, Failure]:
        """Add a ticket to the queue, unless it is there, and await its grant.

        Fails with ``NO_MEMORY`` if the attempt never fits the endpoint, and
        with ``OVERLOADED`` if its first token is not expected in time, and
        with ``CANCELLED`` if the ticket is removed meanwhile.
        """
        queue = self.queue_of(message.endpoint)
        ticket = queue.find(grant_id_of(message.request))
        if ticket is None:
            cached = queue.match(message.request)
            ticket = _make_ticket(self.policy, message.request, cached)
            refusal = _check_admission(queue, ticket)
            if refusal is not None:
                return Error(refusal)
            ticket.owner = message.owner
            ticket.incarnation = message.incarnation
            queue.wait(ticket)
            self._grant_waiting(queue)
        return await _await_grant(queue, ticket, message.poll_seconds)

    async def poll(self, message: GrantPoll) -> Result[Grant, Failure]:
        """Keep a ticket in the queue and await its grant.

        If the queue has no ticket of this id, ``known`` of the reply is false.
        """
        queue = self.queue_of(message.endpoint)
        ticket = queue.find(message.grant_id)
        if ticket is None:
            unknown = Grant(
                granted=False,
                grant_id=message.grant_id,
                known=False,
            )
            return Ok(unknown)
        return await _await_grant(queue, ticket, message.poll_seconds)

    async def release(
        self,
        message: GrantRelease,
    ) -> Result[ReleaseReply, Failure]:
        """Remove a ticket, whether waiting or granted."""
        queue = self.queue_of(message.endpoint)
        queue.advance_prefill()
        known = queue.remove(message.grant_id) is not None
        self._grant_waiting(queue)
        return Ok(ReleaseReply(known=known))

    async def _await_first_reports(
        self, endpoints: tuple[Endpoint, ...]
    ) -> None:
        for endpoint in endpoints:
            self.queue_of(endpoint)
            await self._homed[endpoint.name].reported.wait()

    def _bid_for(self, endpoint: Endpoint, message: BidRequest) -> Bid:
        queue = self.queue_of(endpoint)
        queue.advance_prefill()
        samples = message.samples
        cached = queue.prefixes.matched_samples(samples.depths, samples.blocks)
        ticket = _make_ticket(self.policy, message.request, cached)
        prefill_rate = queue.speed.prefill_tokens_per_second
        return Bid(
            endpoint=endpoint,
            first_token_seconds=expected_first_token_seconds(queue, ticket),
            work_seconds=ticket.uncached_tokens / prefill_rate,
            outstanding_tokens=queue.outstanding_tokens,
            cached_tokens=ticket.cached_tokens,
            memory_tokens=queue.ledger.capacity_tokens,
            fits=ticket.memory_tokens <= queue.ledger.capacity_tokens,
        )

    def _grant_waiting(self, queue: EndpointQueue) -> None:
        queue.advance_prefill()
        if (
            trio.current_time() - queue.waiting.reordered_at
            >= REORDER_INTERVAL_SECONDS
        ):
            drop_abandoned_tickets(queue)
            queue.waiting.reorder(_make_age_ticket(self.policy))
        queue.earmarked_tokens = 0
        is_full = False
        for ticket in queue.waiting:
            is_full = is_full or self.policy.is_full(ticket, queue)
            may_start = ticket.request.memory_only or not is_full
            if may_start and self.policy.admits(ticket, queue):
                queue.grant(ticket)
            elif may_earmark(ticket):
                queue.earmarked_tokens += tokens_to_earmark(queue, ticket)

    async def _serve_endpoint(self, homed: HomedEndpoint) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._grant_periodically, homed)
            while homed.idle_rounds < _MAX_IDLE_ROUNDS:
                await read_engine_reports(homed, self.reports)
                drop_overdue_grants(homed.queue)
                self._grant_waiting(homed.queue)
                homed.idle_rounds += homed.queue.empty
                await trio.sleep(REPORT_INTERVAL_SECONDS)
            self._homed.pop(homed.endpoint.name, None)
            nursery.cancel_scope.cancel()

    async def _grant_periodically(self, homed: HomedEndpoint) -> None:
        while True:
            await homed.queue.arrival.wait()
            while homed.queue.waiting.count:
                await trio.sleep(GRANT_INTERVAL_SECONDS)
                self._grant_waiting(homed.queue)
            homed.queue.arrival = trio.Event()


def _check_admission(queue: EndpointQueue, ticket: Ticket) -> Failure | None:
    if ticket.memory_tokens > queue.ledger.capacity_tokens:
        return not_run(Reason.NO_MEMORY, 'larger than the endpoint')
    queue.advance_prefill()
    wait = expected_first_token_seconds(queue, ticket)
    allowed_seconds = ticket.request.deadline_in_seconds
    if wait <= allowed_seconds:
        return None
    telemetry.count('refusals', reason=Reason.OVERLOADED)
    return not_run(
        Reason.OVERLOADED,
        f'expected wait of {wait:.1f} s is over the deadline',
        retry_after_seconds=max(
            _MIN_RETRY_AFTER_SECONDS, wait - allowed_seconds
        ),
    )


async def _await_grant(
    queue: EndpointQueue,
    ticket: Ticket,
    seconds: float,
) -> Result[Grant, Failure]:
    ticket.polled_at = trio.current_time()
    with trio.move_on_after(min(seconds, MAX_LONG_POLL_SECONDS)):
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
    ticket.sort_key = policy.queue_key(ticket)
    return ticket


def _make_age_ticket(policy: Policy) -> Callable[[Ticket], None]:
    def age_ticket(ticket: Ticket) -> None:
        ticket.priority = policy.age(ticket)
        ticket.sort_key = policy.queue_key(ticket)

    return age_ticket
