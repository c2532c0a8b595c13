"""Builds and connects the components of an entry on the platform."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from expression import Result

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crash_guard import CrashGuard
from limpetdrift.coordination.discovery import cache_usable_entries
from limpetdrift.coordination.drain import Drain, DrainTiming
from limpetdrift.coordination.forwarding import Forwarder, ForwardingInputs
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.peers import (
    PeerCall,
    PeerRoutes,
    make_peer_call,
)
from limpetdrift.coordination.plain_placer import PlainPlacer
from limpetdrift.platform.admission import (
    REQUEST_ID_HEADER,
    AdmissionInputs,
    check_key,
)
from limpetdrift.platform.callers import (
    CallerHandlerInputs,
    apply_limits,
    make_caller_handler,
)
from limpetdrift.platform.crash_rows import CrashRows
from limpetdrift.platform.crash_wiring import build_crash_guard
from limpetdrift.platform.directory import DirectoryInputs
from limpetdrift.platform.endpoint_client import make_send_request
from limpetdrift.platform.failure_responses import (
    RenderFailure,
    make_failure_renderer,
)
from limpetdrift.platform.planning_wiring import (
    EntryContext,
    Planning,
    build_planning,
)
from limpetdrift.platform.registration import (
    REGISTERED_PROCESSES,
    Registration,
    RegistrationInputs,
)
from limpetdrift.platform.reservations import make_reserver
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.platform.store import StoreClient
from limpetdrift.platform.store_replica import ReplicaInputs, StoreReplica
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.verdict import Failure
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_reach import EndpointReach
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server

# Staleness bound of keys, as a share of the time within which a revoked key
# must be refused. The rest covers requests on their way to an endpoint.
KEY_STALENESS_SHARE = 0.85
# How long callers may use a directory answer, well below the longest time that
# they accept.
DIRECTORY_TTL_SECONDS = 2.0
# Safety margin of the retry budget, which all entries share: each entry uses
# only this part of its even share, since the number of entries varies.
RETRY_BUDGET_SHARE = 0.5
# Connect timeouts, after which a new connection is given up.
ENDPOINT_CONNECT_TIMEOUT_SECONDS = 0.25
PEER_CONNECT_TIMEOUT_SECONDS = 0.3
STORE_CONNECT_TIMEOUT_SECONDS = 0.5
# Longest answer of an endpoint to a report poll or an order.
ENDPOINT_WHOLE_BYTES = 1_048_576
# Grace period of a drain, in which requests are still accepted, as a share of
# the time that the platform allows for a stop; and the safety margin by which
# the process ends before it would be killed.
DRAIN_GRACE_SHARE = 0.35
KILL_MARGIN_SECONDS = 0.8
# Minimum number of entries that a site is assumed to have when the retry budget
# is divided among them, since an entry that starts knows no other yet.
_MIN_ENTRIES = 2
_MILLISECONDS = 1000


@dataclass(frozen=True, kw_only=True)
class EntryComponents:
    """The components of one entry, and its servers."""

    settings: PlatformSettings
    node: Node
    routes: RouteTableCache
    replica: StoreReplica
    membership: Membership
    registration: Registration
    planning: Planning
    crash_guard: CrashGuard
    crash_rows: CrashRows
    drain: Drain
    directory: DirectoryInputs
    callers: Server
    peers: Server


def build_entry(settings: PlatformSettings) -> EntryComponents:
    """Build all components of one entry."""
    randomness = random.Random()
    node = make_node(settings)
    store = StoreClient(
        client=HttpClient(
            limits=ClientLimits(connect_seconds=STORE_CONNECT_TIMEOUT_SECONDS),
        ),
        address=settings.store,
    )
    registration = Registration(
        inputs=RegistrationInputs(
            store=store,
            node=node,
            count_peers=lambda: len(membership.live_entries()) - 1,
            join=lambda: membership.join_seeds(),
            is_assigned=lambda: membership.is_assigned(
                'registration', REGISTERED_PROCESSES
            ),
            randomness=randomness,
        ),
        seeds=settings.seeds,
    )
    store.era.on_rise.append(registration.write_again)
    call = make_peer_call(
        HttpClient(
            limits=ClientLimits(connect_seconds=PEER_CONNECT_TIMEOUT_SECONDS)
        ),
        '',
    )
    membership = Membership(
        node=node,
        call=call,
        seeds=registration.seeds,
        randomness=randomness,
    )
    context = EntryContext(
        settings=settings,
        node=node,
        routes=RouteTableCache(clock=boot_time),
        view=EndpointView(clock=boot_time),
        reach=EndpointReach(clock=boot_time),
        membership=membership,
        store=store,
        entries=cache_usable_entries(membership),
        randomness=randomness,
    )
    return _build_components(context, store, registration, call)


def make_node(settings: PlatformSettings) -> Node:
    """Return this process as a node; its name is unique to each start."""
    started = int(time.time() * _MILLISECONDS)
    listeners = settings.listeners
    return Node(
        name=f'{settings.instance}.{started:x}',
        incarnation=started,
        role=Role.ENTRY,
        region=settings.region,
        failure_domain=settings.failure_domain,
        caller_address=listeners.callers,
        peer_address=listeners.peers,
    )


def _build_components(
    context: EntryContext,
    store: StoreClient,
    registration: Registration,
    call: PeerCall,
) -> EntryComponents:
    replica = StoreReplica(
        inputs=ReplicaInputs(
            store=store,
            routes=context.routes,
            view=context.view,
            node=context.node,
            entries=context.entries,
            call=call,
            seeds=registration.seeds,
            clock=boot_time,
            randomness=context.randomness,
            revoke_seconds=context.settings.bounds.revoke_seconds,
        ),
    )
    planning = build_planning(
        context,
        call,
        HttpClient(limits=ClientLimits(whole_bytes=ENDPOINT_WHOLE_BYTES)),
    )
    crash_guard, crash_rows = build_crash_guard(context, call)
    callers, drain = _build_caller_server(context, planning, crash_guard)

    def is_ready() -> bool:
        return replica.is_synced and not drain.is_leaving

    def entries() -> tuple[Node, ...]:
        # A process lists itself only while it can serve callers.
        listed = context.entries()
        if is_ready():
            return listed
        return tuple(each for each in listed if each != context.node)

    return EntryComponents(
        settings=context.settings,
        node=context.node,
        routes=context.routes,
        replica=replica,
        membership=context.membership,
        registration=registration,
        planning=planning,
        crash_guard=crash_guard,
        crash_rows=crash_rows,
        drain=drain,
        directory=DirectoryInputs(
            entries=entries,
            randomness=context.randomness,
            is_ready=is_ready,
            max_age_seconds=min(
                DIRECTORY_TTL_SECONDS,
                context.settings.bounds.answer_age_seconds,
            ),
        ),
        callers=callers,
        peers=_build_peer_server(
            context.membership, planning, replica, crash_guard
        ),
    )


def _build_caller_server(
    context: EntryContext,
    planning: Planning,
    crash_guard: CrashGuard,
) -> tuple[Server, Drain]:
    bounds = context.settings.bounds
    admission = AdmissionInputs(
        routes=context.routes,
        clock=boot_time,
        randomness=context.randomness,
        key_staleness_bound_seconds=bounds.revoke_seconds * KEY_STALENESS_SHARE,
        lookup_staleness_bound_seconds=bounds.apply_seconds,
    )
    render = make_failure_renderer(context.randomness)
    handler_inputs = CallerHandlerInputs(
        admission=admission,
        forwarder=_build_forwarder(
            context, planning, admission, crash_guard, render
        ),
        render=render,
        drain=lambda: drain,
    )
    callers = Server(
        handler=make_caller_handler(handler_inputs),
        find_request_id=lambda request: request.header(REQUEST_ID_HEADER),
    )
    drain_grace_seconds = bounds.stop_seconds * DRAIN_GRACE_SHARE
    drain = Drain(
        membership=context.membership,
        wait_until_idle=callers.wait_idle,
        timing=DrainTiming(
            max_deadline_seconds=bounds.stop_seconds
            - drain_grace_seconds
            - KILL_MARGIN_SECONDS,
            drain_grace_seconds=drain_grace_seconds,
            successor_wait_seconds=0,
        ),
        randomness=context.randomness,
    )
    context.routes.on_change.append(lambda table: apply_limits(callers, table))
    return callers, drain


def _build_forwarder(
    context: EntryContext,
    planning: Planning,
    admission: AdmissionInputs,
    crash_guard: CrashGuard,
    render: RenderFailure,
) -> Forwarder:
    plan_placer = planning.plan_placer
    plain_placer = PlainPlacer(
        view=context.view,
        permit_client=planning.permit_client,
        randomness=context.randomness,
    )
    gate = planning.gate
    endpoint_client = HttpClient(
        limits=ClientLimits(
            connect_seconds=ENDPOINT_CONNECT_TIMEOUT_SECONDS,
            idle_connections=0,
            whole_bytes=ENDPOINT_WHOLE_BYTES,
            # An engine may read a prompt for longer than it may hold memory
            # for one whose engine has died.
            probes_keep_alive=True,
        ),
    )

    async def place(
        request: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        await planning.limit_exchange.wait_learned()
        service = context.routes.find_service(request.service)
        if service is None or service.engine is None:
            return await plain_placer.place(request, excluded)
        return await plan_placer.place(request, excluded)

    def release(
        request: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        # Only placements by the plan placer have a grant.
        placer = plan_placer if placement.grant else plain_placer
        placer.release(request, placement, failed)

    return Forwarder(
        inputs=ForwardingInputs(
            place=place,
            release=release,
            reserve_memory=make_reserver(
                endpoint_client, context.node.name, gate
            ),
            send=make_send_request(
                endpoint_client, plain_placer.apply_load, gate, context.reach
            ),
            check=lambda request: (
                crash_guard.refusal(request) or check_key(request, admission)
            ),
            report_broken_connection=crash_guard.report_broken_connection,
            report_harmless=crash_guard.report_harmless,
            isolate=crash_guard.isolate,
            is_suspected=crash_guard.is_suspected,
            render=render,
            view=context.view,
            budget=_build_retry_budget(context),
            clock=boot_time,
            randomness=context.randomness,
        ),
    )


def _build_retry_budget(context: EntryContext) -> RetryBudget:
    """Return this entry's part of the budget that all entries share."""
    bounds = context.settings.bounds
    assumed = 2 * len(context.settings.failure_domains)

    def reserve() -> float:
        entries = max(_MIN_ENTRIES, assumed, len(context.entries()))
        return max(1.0, bounds.retry_reserve * RETRY_BUDGET_SHARE / entries)

    budget = RetryBudget(
        share=bounds.retry_share * RETRY_BUDGET_SHARE, reserve=reserve()
    )
    context.membership.on_change.append(
        lambda changed: budget.limit_balance(reserve())
    )
    return budget


def _build_peer_server(
    membership: Membership,
    planning: Planning,
    replica: StoreReplica,
    crash_guard: CrashGuard,
) -> Server:
    peer_routes = PeerRoutes()
    crash_guard.register(peer_routes)
    replica.relay.register(peer_routes)
    membership.register(peer_routes)
    planning.register(peer_routes)
    routes = Routes()
    peer_routes.mount(routes, '')
    return Server(handler=routes.handle)


def serve_routes(
    add_routes: Callable[[Routes, DirectoryInputs], None],
    inputs: DirectoryInputs,
) -> Server:
    """Return a server with the routes that ``add_routes`` adds."""
    routes = Routes()
    add_routes(routes, inputs)
    return Server(handler=routes.handle)
