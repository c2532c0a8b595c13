"""Builds and connects the components of an entry on the platform."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crashes.crash_guard import CrashGuard
from limpetdrift.coordination.membership.discovery import cache_usable_entries
from limpetdrift.coordination.membership.drain import Drain, DrainTiming
from limpetdrift.coordination.membership.link_monitor import LinkMonitor
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.coordination.peers import (
    PeerCall,
    PeerRoutes,
    make_peer_call,
)
from limpetdrift.platform.admission import AdmissionInputs
from limpetdrift.platform.callers import (
    CallerHandlerInputs,
    apply_limits,
    make_caller_handler,
    make_carried_handler,
)
from limpetdrift.platform.carrying import CARRY_PATH, CarriedRequests
from limpetdrift.platform.crash_rows import CrashRows
from limpetdrift.platform.crash_wiring import build_crash_guard
from limpetdrift.platform.directory import DirectoryInputs
from limpetdrift.platform.failure_responses import make_failure_renderer
from limpetdrift.platform.forwarder_wiring import (
    ENDPOINT_WHOLE_BYTES,
    build_forwarder,
)
from limpetdrift.platform.header_names import REQUEST_ID_HEADER
from limpetdrift.platform.link_wiring import (
    CarrierLinks,
    build_carriers,
    build_probe,
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
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.platform.store import StoreClient
from limpetdrift.platform.store_replica import ReplicaInputs, StoreReplica
from limpetdrift.protocol.node import Node, Role
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.connection_account import (
    Accounts,
    ConnectionAccount,
    make_accounts,
)
from limpetdrift.transport.holding import SHORT_BODY_BYTES
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server

# Staleness bound of keys, as a share of the time within which a revoked key
# must be refused. The rest covers requests on their way to an endpoint.
KEY_STALENESS_SHARE = 0.85
# How long callers may use a directory answer, well below the longest time that
# they accept.
DIRECTORY_TTL_SECONDS = 2.0
# Connect timeouts, after which a new connection is given up.
PEER_CONNECT_TIMEOUT_SECONDS = 0.3
STORE_CONNECT_TIMEOUT_SECONDS = 0.5
# Grace period of a drain, in which requests are still accepted, as a share of
# the time that the platform allows for a stop; and the safety margin by which
# the process ends before it would be killed.
DRAIN_GRACE_SHARE = 0.35
KILL_MARGIN_SECONDS = 0.8
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
    links: CarrierLinks
    accounts: Accounts
    callers: Server
    peers: Server


class PeerComponent(Protocol):
    """A component that peers call."""

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""


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
            configuration_version=lambda: routes.version,
            count_peers=lambda: len(membership.live_entries()) - 1,
            join=lambda: membership.join_seeds(),
            is_assigned=lambda: membership.is_assigned(
                'registration', REGISTERED_PROCESSES
            ),
            randomness=randomness,
        ),
        seeds=settings.seeds,
    )
    # A row says what its writer knew in an era, so it waits for the polls.
    store.era.on_peer_poll.append(registration.write_again)
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
    view = EndpointView(clock=boot_time)
    routes = RouteTableCache(clock=boot_time)
    context = EntryContext(
        settings=settings,
        node=node,
        routes=routes,
        view=view,
        links=LinkMonitor(
            view=view, probe=build_probe(routes), randomness=randomness
        ),
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
            read_registered=registration.read,
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
    links = CarrierLinks(
        monitor=context.links,
        carriers=build_carriers(context, call),
        client=HttpClient(
            limits=ClientLimits(
                connect_seconds=PEER_CONNECT_TIMEOUT_SECONDS,
                idle_connections=0,
            ),
        ),
    )
    accounts = make_accounts(
        memory_bytes=context.settings.memory_bytes,
        descriptors=context.settings.descriptors,
    )
    callers, carried, drain = _build_caller_server(
        context, planning, crash_guard, links, accounts
    )

    def is_ready() -> bool:
        return replica.is_synced and not drain.is_leaving

    def entries() -> tuple[Node, ...]:
        # A process lists itself only while it can serve callers.
        # Those that are cut off serve through their peers.
        listed = links.carriers.prefer_reaching(context.entries())
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
        links=links,
        accounts=accounts,
        callers=callers,
        peers=_build_peer_server(
            (
                crash_guard,
                replica.relay,
                context.membership,
                planning,
                links.carriers,
            ),
            carried,
            accounts,
        ),
    )


def _build_caller_server(
    context: EntryContext,
    planning: Planning,
    crash_guard: CrashGuard,
    links: CarrierLinks,
    accounts: Accounts,
) -> tuple[Server, CarriedRequests, Drain]:
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
        forwarder=build_forwarder(
            context, planning, admission, crash_guard, links, render
        ),
        render=render,
        drain=lambda: drain,
    )
    callers = Server(
        handler=make_caller_handler(handler_inputs),
        account=accounts.callers,
        find_request_id=lambda request: request.header(REQUEST_ID_HEADER),
    )
    carried = CarriedRequests(serve=make_carried_handler(handler_inputs))

    async def wait_idle() -> None:
        await callers.wait_idle()
        await carried.wait_idle()

    drain_grace_seconds = bounds.stop_seconds * DRAIN_GRACE_SHARE
    drain = Drain(
        membership=context.membership,
        wait_until_idle=wait_idle,
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
    return callers, carried, drain


def _build_peer_server(
    components: Iterable[PeerComponent],
    carried: CarriedRequests,
    accounts: Accounts,
) -> Server:
    peer_routes = PeerRoutes()
    for component in components:
        component.register(peer_routes)
    routes = Routes()
    peer_routes.mount(routes, '')
    routes.add('POST', CARRY_PATH, carried.handle)
    return Server(handler=routes.handle, account=accounts.internal)


def serve_routes(
    add_routes: Callable[[Routes, DirectoryInputs], None],
    inputs: DirectoryInputs,
    account: ConnectionAccount,
) -> Server:
    """Return a server with the routes that ``add_routes`` adds.

    Their requests have no bodies to speak of.
    """
    routes = Routes()
    add_routes(routes, inputs)
    return Server(
        handler=routes.handle,
        limits=ServerLimits(body_bytes=SHORT_BODY_BYTES),
        account=account,
    )
