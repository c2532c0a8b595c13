"""Entries before endpoints that limit their rate, in virtual time.

Each entry is wired as on the platform, with a membership of its own. Only the
connections between entries and to endpoints are replaced.
"""

import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import trio
from expression import Ok

from era_site import STORE_ADDRESS, LocalClient
from fake_network import FakeNetwork
from forward_harness import FakeExchange, make_answer_memory, make_route
from limpet_standins.platform_store import StandinStore
from limpetdrift.coordination.forwarding.forwarding import (
    Forwarder,
)
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ForwardingInputs,
)
from limpetdrift.coordination.membership.discovery import cache_usable_entries
from limpetdrift.coordination.membership.link_monitor import LinkMonitor
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.planning.plain_placer import PlainPlacer
from limpetdrift.platform.carrying import mark_carried, unpack_request
from limpetdrift.platform.crash_wiring import build_crash_guard
from limpetdrift.platform.endpoint_client import make_send_request
from limpetdrift.platform.header_names import CARRIED_MARK_HEADER
from limpetdrift.platform.link_wiring import (
    CarrierLinks,
    build_carriers,
    carry_if_cut,
)
from limpetdrift.platform.planning_wiring import (
    EntryContext,
    build_planning,
)
from limpetdrift.platform.reservations import make_reserver
from limpetdrift.platform.store import StoreClient
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.route_table import (
    RequestKind,
    RouteTable,
    Service,
    ServiceShare,
)
from limpetdrift.protocol.work import CallerRequest, ListedEndpoint, PromptSize
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.messages import Address, Response
from limpetdrift.verdict import (
    FailureError,
    Reason,
    may_have_run,
    not_run,
)
from test_splitting import COST_MODEL
from virtual_time import background_tasks

ENGINES_SERVICE = 's'
PLAIN_SERVICE = 'd'
WINDOW_SECONDS = 4.0
# Time after an entry's first answer with a limit from which it is bound by it.
TOLD_SECONDS = 0.5
DOMAINS = 3
# Time of an answer's head, and of the rest of a stream.
ANSWER_SECONDS = 0.05
STREAM_SECONDS = 0.6
SHORT_PROMPT = PromptSize(prompt_tokens=4000, answer_tokens=1500)
_MAX_SEEDS = 3
_HOSTS_IN_SUBNET = 200
_NETWORKS = {PLAIN_SERVICE: '10.1.0', ENGINES_SERVICE: '10.2.0'}


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A call that reached an endpoint, by kind and entry."""

    at: float
    kind: str
    entry: str
    is_told: bool


@dataclass(kw_only=True)
class LimitedEndpoint:
    """An endpoint that answers all calls, and names its limit in each."""

    listed: ListedEndpoint
    limit: float | str | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    told_at: dict[str, float] = field(default_factory=dict)
    # The ids of the reservations that were begun, without renewals.
    reservations: list[str] = field(default_factory=list)

    def receive(self, kind: str, entry: str) -> None:
        """Record a call."""
        now = trio.current_time()
        told_at = self.told_at.get(entry, float('inf'))
        self.arrivals.append(
            Arrival(
                at=now,
                kind=kind,
                entry=entry,
                is_told=now >= told_at + TOLD_SECONDS,
            ),
        )

    def reserve(self, order: dict[str, object]) -> None:
        """Record the first order of a reservation."""
        is_reservation = order['operation'] == 'reserve'
        if is_reservation and order['id'] not in self.reservations:
            self.reservations.append(order['id'])

    def signals(self, entry: str) -> tuple[tuple[str, str], ...]:
        """Return the headers of an answer, and record what it tells."""
        if self.limit is None:
            return ()
        self.told_at.setdefault(entry, trio.current_time())
        return (('server-limit', str(self.limit)),)

    def worst_window(self, since: float = 0.0) -> int:
        """Return the most calls of told entries in any window."""
        times = [
            each.at
            for each in self.arrivals
            if each.is_told and each.at >= since
        ]
        return max(
            (
                sum(first <= at < first + WINDOW_SECONDS for at in times)
                for first in times
            ),
            default=0,
        )

    def count_all_as_told(self) -> None:
        """Let no start of an entry excuse any of its calls."""
        self.arrivals = [replace(each, is_told=True) for each in self.arrivals]

    def count_since(self, since: float, kind: str = 'request') -> int:
        """Return the calls of a kind since a time."""
        return sum(
            each.at >= since and each.kind == kind for each in self.arrivals
        )


def bound_of(limit: float) -> float:
    """Return the calls that an endpoint may get in any window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


class EndpointClient:
    """Takes the calls of one entry to the endpoints of a site."""

    def __init__(self, site: 'LimitSite', entry: str) -> None:
        self._site = site
        self._entry = entry

    def drop_idle_connections(self, address: Address) -> None:
        """Do nothing: no connection is kept."""

    async def fetch(self, address, request, **options: object):
        """Answer a report poll, an order or a health check."""
        endpoint = self._site.by_address[str(address)]
        kind = request.path.rpartition('/')[2]
        endpoint.receive(kind, self._entry)
        if kind == 'order':
            endpoint.reserve(json.loads(request.body))
        await trio.sleep(ANSWER_SECONDS / 10)
        return Ok(
            Response(
                status=200,
                headers=endpoint.signals(self._entry),
                body=json.dumps({'active': 0, 'queued': 0}).encode(),
            ),
        )

    @asynccontextmanager
    async def stream(self, address, request, **options: object):
        """Answer a request with a stream."""
        endpoint = self._site.by_address[str(address)]
        endpoint.receive('request', self._entry)
        await trio.sleep(ANSWER_SECONDS)
        yield _Stream(endpoint.signals(self._entry))


class _Stream:
    """The answer to one request."""

    def __init__(self, headers) -> None:
        self.status = 200
        self.headers = (('content-length', '2'), *headers)

    def expect_bytes(self, length: int) -> None:
        """Do nothing: chunks are as they were sent."""

    async def chunks(self):
        """Yield one event, and end after the time of a stream."""
        yield b'id: 1\ndata: x\n\n'
        await trio.sleep(STREAM_SECONDS)


class PeerClient:
    """Carries requests from one entry to another."""

    def __init__(self, site: 'LimitSite') -> None:
        self._site = site

    @asynccontextmanager
    async def stream(self, address, request, **options: object):
        """Let the peer serve a request, and open its answer."""
        peer = self._site.find_peer(address)
        if peer is None:
            raise FailureError(not_run(Reason.CONNECT_FAILED, str(address)))
        exchange = CarriedExchange()
        original, attempts = unpack_request(request).ok
        seconds_left = float(original.header('deadline-ms')) / 1000
        work = replace(
            self._site.works[original.header('attempt-id')],
            headers=tuple(
                pair for pair in original.headers if pair[0] != 'deadline-ms'
            ),
            arrived_at=trio.current_time(),
            deadline=trio.current_time() + seconds_left,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                peer.serve, mark_carried(work, attempts), exchange
            )
            await exchange.has_head.wait()
            yield exchange
            nursery.cancel_scope.cancel()


class CarriedExchange:
    """The answer of a peer, as the entry that asked it receives it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = ()
        self.started = False
        self.is_whole = False
        self.has_head = trio.Event()
        channel = trio.open_memory_channel(1000)
        self._sender = channel[0]
        self._receiver = channel[1]

    async def start(self, status: int, headers=()) -> None:
        self.started = True
        self.status = status
        self.headers = (*headers, (CARRIED_MARK_HEADER, '1'))
        self.has_head.set()

    async def send(self, payload: bytes) -> None:
        self._sender.send_nowait(payload)

    async def finish(self) -> None:
        self.is_whole = True
        self._sender.close()

    def make_answer_memory(self):
        return make_answer_memory()

    async def respond(self, response: Response) -> None:
        headers = (*response.headers, ('content-length', '0'))
        await self.start(response.status, headers)
        await self.send(response.body)
        await self.finish()

    async def abort(self) -> None:
        self._sender.send_nowait(None)

    async def wait_closed(self) -> None:
        await trio.sleep_forever()

    def expect_bytes(self, length: int) -> None:
        """Do nothing: chunks are as they were sent."""

    async def chunks(self):
        async for chunk in self._receiver:
            if chunk is None:
                raise FailureError(
                    may_have_run(Reason.CONNECTION_BROKEN, 'aborted')
                )
            yield chunk


@dataclass(kw_only=True)
class Outcome:
    """How a request ended at a caller."""

    at: float
    seconds: float
    status: int
    retry_after_seconds: float | None
    # Why the entry failed it.
    reason: str = ''


class LimitEntry:
    """One entry, until its scope is cancelled."""

    def __init__(self, site: 'LimitSite', node: Node) -> None:
        self.node = node
        self.scope = trio.CancelScope()
        self._calls: set[trio.CancelScope] = set()
        self.peer_routes = PeerRoutes()
        call = site.network.add_peer(node.peer_address, self.peer_routes)
        randomness = random.Random(node.name)
        self.membership = Membership(
            node=node,
            call=call,
            seeds=site.seeds,
            randomness=randomness,
        )
        self.membership.register(self.peer_routes)
        routes = RouteTableCache(clock=trio.current_time)
        routes.accept_newer(site.table, trio.current_time(), 0)
        self.view = EndpointView(clock=trio.current_time)
        self.view.replace(each.listed for each in site.endpoints)
        context = EntryContext(
            settings=None,
            node=node,
            routes=routes,
            view=self.view,
            links=LinkMonitor(
                view=self.view,
                probe=lambda endpoint: site.probe(node.name, endpoint),
                randomness=randomness,
            ),
            membership=self.membership,
            store=StoreClient(
                client=LocalClient(site.store), address=STORE_ADDRESS
            ),
            entries=cache_usable_entries(self.membership),
            randomness=randomness,
            clock=trio.current_time,
            time_of_day=trio.current_time,
        )
        client = site.make_client(node.name)
        self.planning = build_planning(context, call, client)
        self.planning.register(self.peer_routes)
        self.plan_placer = self.planning.plan_placer
        self.plain_placer = PlainPlacer(
            view=self.view,
            permit_client=self.planning.permit_client,
            randomness=randomness,
        )
        self.seeds = site.seeds()
        guard, rows = build_crash_guard(context, call, site.is_dead)
        self.crash_guard = guard
        self.crash_rows = rows
        self.crash_guard.register(self.peer_routes)
        gate = self.planning.gate
        self.links = CarrierLinks(
            monitor=context.links,
            carriers=build_carriers(context, call),
            client=PeerClient(site),
        )
        self.links.carriers.register(self.peer_routes)
        self.forwarder = Forwarder(
            inputs=carry_if_cut(
                ForwardingInputs(
                    place=self._place,
                    release=self._release,
                    reserve_memory=make_reserver(
                        client, node.name, gate, context.links
                    ),
                    send=make_send_request(
                        client,
                        self.plain_placer.apply_load,
                        gate,
                        context.links,
                    ),
                    check=self.crash_guard.refusal,
                    report_broken_connection=(
                        self.crash_guard.report_broken_connection
                    ),
                    report_harmless=self.crash_guard.report_harmless,
                    isolate=self.crash_guard.isolate,
                    is_suspected=self.crash_guard.is_suspected,
                    render=_render,
                    view=self.view,
                    budget=RetryBudget(),
                    clock=trio.current_time,
                    randomness=randomness,
                ),
                self.links,
                self._blame,
            ),
        )

    def tasks(self):
        """Return the background tasks of an entry."""
        planning = (
            self.plan_placer.planner_client.run,
            self.planning.report_poller.run,
            self.planning.limit_exchange.run,
            self.crash_guard.run,
            self.links.carriers.replicator.run,
        )
        return (
            self.membership.run,
            *planning,
            self._follow_limits,
            self._follow_crashes,
            self.links.monitor.run,
        )

    async def run(self) -> None:
        """Run the background tasks until the entry is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                for task in self.tasks():
                    nursery.start_soon(task)

    async def serve(self, work: CallerRequest, exchange: FakeExchange) -> None:
        """Serve a request until the entry is killed."""
        scope = trio.CancelScope()
        self._calls.add(scope)
        with scope:
            await self.forwarder.serve(work, exchange)
        self._calls.discard(scope)

    def kill(self) -> None:
        """End all tasks and requests at once."""
        for scope in (self.scope, *self._calls):
            scope.cancel()

    def _other_seeds(self) -> tuple[Address, ...]:
        own_address = self.node.peer_address
        return tuple(each for each in self.seeds if each != own_address)

    async def _follow_limits(self) -> None:
        await self.planning.limit_exchange.learn(self._other_seeds())
        await self.planning.limit_rows.run()

    async def _follow_crashes(self) -> None:
        await self.crash_guard.learn(self._other_seeds())
        await self.crash_rows.run()

    async def _place(self, work, excluded):
        await self.planning.limit_exchange.wait_learned()
        placer = (
            self.plan_placer
            if work.service == ENGINES_SERVICE
            else self.plain_placer
        )
        return await placer.place(work, excluded)

    def _blame(self, work, placement, failed) -> None:
        if placement.grant:
            self.plan_placer.release(work, placement, failed)
        else:
            self.plain_placer.blame(failed)

    def _release(self, work, placement, failed) -> None:
        placer = self.plan_placer if placement.grant else self.plain_placer
        placer.release(work, placement, failed)


class LimitSite:
    """Entries, endpoints of an engine and a plain service, and callers.

    ``cold`` has the services' fields on cold endpoints.
    """

    def __init__(
        self, *, entries: int, engines: int = 14, plain: int = 3, **cold: float
    ) -> None:
        self.network = FakeNetwork(seed=1)
        self.store = StandinStore()
        self.endpoints = [
            *(_make_endpoint(ENGINES_SERVICE, each) for each in range(engines)),
            *(_make_endpoint(PLAIN_SERVICE, each) for each in range(plain)),
        ]
        self.by_address = {each.listed.address: each for each in self.endpoints}
        self.table = RouteTable(
            version=1,
            routes=(),
            services=(
                Service(name=ENGINES_SERVICE, engine=COST_MODEL, **cold),
                Service(name=PLAIN_SERVICE, **cold),
            ),
        )
        self.outcomes: list[Outcome] = []
        self.works: dict[str, CallerRequest] = {}
        self.entries: dict[int, LimitEntry] = {}
        self._starts: dict[int, int] = {}
        self._count = entries
        self._nursery: trio.Nursery | None = None
        self._requests = 0

    def of_service(self, service: str) -> list[LimitedEndpoint]:
        """Return the endpoints of a service."""
        return [
            each for each in self.endpoints if each.listed.service == service
        ]

    def seeds(self) -> tuple[Address, ...]:
        """Return the addresses that each entry knows at its start."""
        return tuple(_peer_address(each) for each in range(_MAX_SEEDS))

    def start(self, nursery: trio.Nursery) -> None:
        """Start all entries."""
        self._nursery = nursery
        for number in range(self._count):
            self.start_entry(number)

    def start_entry(self, number: int) -> LimitEntry:
        """Start one entry, as new or again under its address."""
        self._starts[number] = self._starts.get(number, 0) + 1
        entry = LimitEntry(self, _make_node(number, self._starts[number]))
        self.entries[number] = entry
        self._nursery.start_soon(entry.run)
        return entry

    def kill_entry(self, number: int) -> None:
        """End an entry without a word."""
        entry = self.entries.pop(number)
        entry.kill()
        self.network.kill(entry.node.peer_address)

    def find_peer(self, address: Address) -> LimitEntry | None:
        """Return the running entry at an address, if any."""
        found = (
            each
            for each in self.entries.values()
            if each.node.peer_address == address
        )
        return next(found, None)

    def make_client(self, entry: str) -> 'EndpointClient':
        """Return the client for an entry's calls to endpoints."""
        return EndpointClient(self, entry)

    async def probe(self, entry: str, endpoint: ListedEndpoint) -> bool:
        """Return whether an entry can connect to an endpoint."""
        return not await self.is_dead(endpoint)

    async def is_dead(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint has crashed."""
        return False

    def make_work(
        self,
        service: str,
        size: PromptSize = SHORT_PROMPT,
        **changes: object,
    ) -> CallerRequest:
        """Return a request of a caller that arrives now."""
        self._requests += 1
        now = trio.current_time()
        is_engine = service == ENGINES_SERVICE
        route = make_route(
            kind=RequestKind.STREAMING if is_engine else RequestKind.IDEMPOTENT,
            shares=(ServiceShare(service=service),),
            patience_seconds=2.0,
        )
        values: dict[str, object] = {
            'request_id': f'a{self._requests}',
            'method': 'POST',
            'target': '/x',
            'headers': (('attempt-id', f'a{self._requests}'),),
            'body': b'',
            'route': route,
            'service': service,
            'version': 1,
            'arrived_at': now,
            'deadline': now + route.timeout_seconds,
            'size': size if is_engine else None,
        }
        work = CallerRequest(**(values | changes))
        self.works[work.request_id] = work
        return work

    async def call(self, number: int, service: str, **changes) -> None:
        """Send one request of a caller through an entry."""
        entry = self.entries.get(number)
        if entry is None:
            return
        now = trio.current_time()
        exchange = FakeExchange()
        work = self.make_work(service, **changes)
        await entry.serve(work, exchange)
        status = exchange.status or (exchange.response or _LOST).status
        retry_after = (exchange.response or _LOST).header('retry-after')
        self.outcomes.append(
            Outcome(
                at=now,
                seconds=trio.current_time() - now,
                status=status,
                retry_after_seconds=float(retry_after) if retry_after else None,
                reason=(exchange.response or _LOST).body.decode(),
            ),
        )

    async def offer(
        self, service: str, *, rate: float, seconds: float, entries=None
    ) -> None:
        """Send requests at a rate, spread over all or the given entries."""
        randomness = random.Random(f'{service}-{rate}-{seconds}')
        chosen = tuple(entries or range(self._count))
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(randomness.expovariate(rate))
            number = randomness.choice(chosen)
            self._nursery.start_soon(self.call, number, service)

    def statuses(self, since: float = 0.0) -> dict[int, int]:
        """Return how many requests since a time ended with each status."""
        counts: dict[int, int] = {}
        for each in self.outcomes:
            if each.at >= since:
                counts[each.status] = counts.get(each.status, 0) + 1
        return counts


@asynccontextmanager
async def open_limit_site(**sizes: int):
    """Run a site while the body runs, after its entries have joined."""
    site = LimitSite(**sizes)
    async with background_tasks(site):
        await trio.sleep(3)
        yield site


_LOST = Response(status=0)


def _render(failure) -> Response:
    headers = ()
    if failure.retry_after_seconds is not None:
        headers = (('retry-after', str(failure.retry_after_seconds)),)
    return Response(
        status=503 if failure.verdict == 'not-run' else 502,
        headers=headers,
        body=str(failure.reason).encode(),
    )


def _make_endpoint(service: str, number: int) -> LimitedEndpoint:
    return LimitedEndpoint(
        listed=ListedEndpoint(
            name='-'.join((service, str(number).zfill(3))),
            lifetime=1,
            service=service,
            address=f'{_NETWORKS[service]}.{number}:80',
            failure_domain=_domain_of(number),
            slots=8,
        ),
    )


def _make_node(number: int, start: int) -> Node:
    address = _peer_address(number)
    return Node(
        name=f'e{number}.{start}',
        incarnation=start * 1000 + number,
        role=Role.ENTRY,
        region='r',
        failure_domain=_domain_of(number),
        caller_address=address,
        peer_address=address,
    )


def _peer_address(number: int) -> Address:
    subnet, host = divmod(number, _HOSTS_IN_SUBNET)
    return Address(host=f'10.0.{subnet}.{host}', port=1)


def _domain_of(number: int) -> str:
    domain = number % DOMAINS
    return f'domain-{domain}'
