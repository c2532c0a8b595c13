"""Joins the parts of the entry that serves on the platform."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from expression import Result

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crash_guard import CrashGuard
from limpetdrift.coordination.discovery import usable_entries
from limpetdrift.coordination.drain import Drain, DrainTiming
from limpetdrift.coordination.engine_report_poller import EngineReportPoller
from limpetdrift.coordination.forwarding import Forwarder, ForwardingInputs
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.peers import (
    PeerCall,
    PeerRoutes,
    make_peer_call,
)
from limpetdrift.coordination.plain_placer import PlainPlacer
from limpetdrift.coordination.plan_placer import PlanPlacer
from limpetdrift.platform.admission import AdmissionInputs, check_key
from limpetdrift.platform.callers import CallerFront, make_caller_handler
from limpetdrift.platform.directory import DirectoryInputs
from limpetdrift.platform.endpoint_client import make_sending
from limpetdrift.platform.failure_responses import (
    RenderFailure,
    make_failure_renderer,
)
from limpetdrift.platform.planning_wiring import (
    EntryContext,
    build_crash_guard,
    build_planning,
)
from limpetdrift.platform.registration import (
    Registration,
    RegistrationInputs,
)
from limpetdrift.platform.reservations import make_reserver
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.platform.store import StoreClient
from limpetdrift.platform.store_replica import ReplicaInputs, StoreReplica
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.verdict import Failure
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server, ServerLimits

# The part of the promised time in which keys are trusted unconfirmed; the
# rest is for requests on their way.
CONFIRMED_SHARE = 0.85
# Directory answers are kept this long, well under what callers bear.
ANSWER_AGE_SECONDS = 2.0
# All entries share the budget of retries; each may take this part of its
# even share, since the shares move as entries come and go.
BUDGET_SHARE = 0.5
# A new connection to an endpoint that isn't there by then is given up.
CONNECT_SECONDS = 0.25
PEER_CONNECT_SECONDS = 0.3
STORE_CONNECT_SECONDS = 0.5
# While it stops a process takes requests for this part of the time it has,
# and ends so long before it would be killed.
SERVE_ON_SHARE = 0.35
END_EARLY_SECONDS = 0.8
# The smallest number of entries that a site is thought to have when the
# budget of retries is divided.
_LEAST_ENTRIES = 2
_MILLISECONDS = 1000


@dataclass(frozen=True, kw_only=True)
class EntryComponents:
    """The joined parts of one process."""

    settings: PlatformSettings
    node: Node
    routes: RouteTableCache
    replica: StoreReplica
    membership: Membership
    registration: Registration
    planning: PlanPlacer
    watch: EngineReportPoller
    guard: CrashGuard
    drain: Drain
    directory: DirectoryInputs
    callers: Server
    peers: Server


def build_entry(settings: PlatformSettings) -> EntryComponents:
    """Make all parts of one process."""
    randomness = random.Random()
    node = make_node(settings)
    store = StoreClient(
        client=HttpClient(
            limits=ClientLimits(connect_seconds=STORE_CONNECT_SECONDS),
        ),
        address=settings.store,
    )
    registration = Registration(
        inputs=RegistrationInputs(
            store=store,
            node=node,
            peers=lambda: len(membership.live_entries()) - 1,
            join=lambda: membership.join_seeds(),
            randomness=randomness,
        ),
        seeds=settings.seeds,
    )
    call = make_peer_call(
        HttpClient(limits=ClientLimits(connect_seconds=PEER_CONNECT_SECONDS)),
        '',
    )
    membership = Membership(
        node=node,
        call=call,
        seeds=registration.seeds,
        randomness=randomness,
    )
    base = EntryContext(
        settings=settings,
        node=node,
        routes=RouteTableCache(clock=boot_time),
        view=EndpointView(clock=boot_time),
        membership=membership,
        randomness=randomness,
    )
    return _join(base, store, registration, call)


def make_node(settings: PlatformSettings) -> Node:
    """Name this process; each start has a name of its own."""
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


def _join(
    base: EntryContext,
    store: StoreClient,
    registration: Registration,
    call: PeerCall,
) -> EntryComponents:
    replica = StoreReplica(
        inputs=ReplicaInputs(
            store=store,
            routes=base.routes,
            view=base.view,
            membership=base.membership,
            call=call,
            seeds=registration.seeds,
            clock=boot_time,
            randomness=base.randomness,
            revoke_seconds=base.settings.bounds.revoke_seconds,
        ),
    )
    planning, watch = build_planning(base, call)
    guard = build_crash_guard(base, call)
    callers, drain = _join_callers(base, planning, guard)

    def is_ready() -> bool:
        return replica.is_synced and not drain.is_leaving

    def entries() -> tuple[Node, ...]:
        # A process lists itself only when it can serve.
        listed = usable_entries(base.membership)
        if is_ready():
            return tuple(listed)
        return tuple(each for each in listed if each != base.node)

    return EntryComponents(
        settings=base.settings,
        node=base.node,
        routes=base.routes,
        replica=replica,
        membership=base.membership,
        registration=registration,
        planning=planning,
        watch=watch,
        guard=guard,
        drain=drain,
        directory=DirectoryInputs(
            entries=entries,
            is_ready=is_ready,
            max_age_seconds=min(
                ANSWER_AGE_SECONDS,
                base.settings.bounds.answer_age_seconds,
            ),
        ),
        callers=callers,
        peers=_join_peers(base.membership, planning, replica, guard),
    )


def _join_callers(
    base: EntryContext,
    planning: PlanPlacer,
    guard: CrashGuard,
) -> tuple[Server, Drain]:
    bounds = base.settings.bounds
    admission = AdmissionInputs(
        routes=base.routes,
        clock=boot_time,
        randomness=base.randomness,
        key_staleness_bound_seconds=bounds.revoke_seconds * CONFIRMED_SHARE,
        lookup_staleness_bound_seconds=bounds.apply_seconds,
    )
    render = make_failure_renderer(base.randomness)
    front = CallerFront(
        admission=admission,
        forwarder=_join_forwarder(base, planning, admission, guard, render),
        render=render,
        drain=lambda: drain,
    )
    callers = Server(handler=make_caller_handler(front))
    serve_on = bounds.stop_seconds * SERVE_ON_SHARE
    drain = Drain(
        membership=base.membership,
        wait_until_idle=callers.wait_idle,
        timing=DrainTiming(
            max_deadline_seconds=bounds.stop_seconds
            - serve_on
            - END_EARLY_SECONDS,
            drain_grace_seconds=serve_on,
            successor_wait_seconds=0,
        ),
        randomness=base.randomness,
    )
    base.routes.on_change.append(lambda table: _apply_limits(callers, table))
    return callers, drain


def _join_forwarder(
    base: EntryContext,
    planning: PlanPlacer,
    admission: AdmissionInputs,
    guard: CrashGuard,
    render: RenderFailure,
) -> Forwarder:
    plain = PlainPlacer(view=base.view, randomness=base.randomness)
    endpoints = HttpClient(
        limits=ClientLimits(
            connect_seconds=CONNECT_SECONDS,
            idle_connections=0,
        ),
    )

    async def place(
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        service = base.routes.find_service(work.service)
        if service is None or service.engine is None:
            return await plain.place(work, excluded)
        return await planning.place(work, excluded)

    def release(
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        # Only plans have a grant.
        placing = planning if placement.grant else plain
        placing.release(work, placement, failed)

    return Forwarder(
        inputs=ForwardingInputs(
            place=place,
            release=release,
            reserve_memory=make_reserver(endpoints, base.node.name),
            send=make_sending(endpoints, plain.note_load),
            check=lambda work: (
                guard.refusal(work) or check_key(work, admission)
            ),
            report_broken_connection=guard.report_broken_connection,
            report_success=guard.report_success,
            render=render,
            view=base.view,
            budget=_make_budget(base.settings),
            clock=boot_time,
            randomness=base.randomness,
        ),
    )


def _make_budget(settings: PlatformSettings) -> RetryBudget:
    entries = max(_LEAST_ENTRIES, 2 * len(settings.failure_domains))
    reserve = settings.bounds.retry_reserve * BUDGET_SHARE / entries
    return RetryBudget(
        share=settings.bounds.retry_share * BUDGET_SHARE,
        reserve=max(1.0, reserve),
    )


def _apply_limits(callers: Server, table: RouteTable) -> None:
    limits = table.limits
    callers.use_limits(
        ServerLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            idle_seconds=limits.idle_seconds,
            head_seconds=limits.head_seconds,
        ),
    )


def _join_peers(
    membership: Membership,
    planning: PlanPlacer,
    replica: StoreReplica,
    guard: CrashGuard,
) -> Server:
    peer_routes = PeerRoutes()
    guard.replicator.register(peer_routes)
    replica.relay.register(peer_routes)
    membership.register(peer_routes)
    planning.register(peer_routes)
    routes = Routes()
    peer_routes.mount(routes, '')
    return Server(handler=routes.handle)


def serve_routes(
    add: Callable[[Routes, DirectoryInputs], None],
    answers: DirectoryInputs,
) -> Server:
    """Return a server of the routes that a function adds."""
    routes = Routes()
    add(routes, answers)
    return Server(handler=routes.handle)
