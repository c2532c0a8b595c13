"""Joins the parts of the entry that serves on the platform."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from expression import Result

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crashguard import CrashGuard
from limpetdrift.coordination.discovery import usable_entries
from limpetdrift.coordination.drain import Drain, DrainTiming
from limpetdrift.coordination.enginewatch import EngineWatch
from limpetdrift.coordination.forwarding import Forwarder, ForwardingParts
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.peers import (
    PeerCall,
    PeerRoutes,
    make_peer_call,
)
from limpetdrift.coordination.plainplacing import PlainPlacing
from limpetdrift.coordination.planning import Planning
from limpetdrift.platform.answers import Render, make_render
from limpetdrift.platform.callers import CallerFront, make_caller_handler
from limpetdrift.platform.calls import make_sending
from limpetdrift.platform.directory import DirectoryAnswers
from limpetdrift.platform.joinplanning import (
    Base,
    join_guard,
    join_planning,
)
from limpetdrift.platform.knowledge import Knowledge, KnowledgeInputs
from limpetdrift.platform.registration import (
    Registration,
    RegistrationInputs,
)
from limpetdrift.platform.requests import Intake, check_key
from limpetdrift.platform.reservations import make_holding
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.platform.store import StoreClient
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.routetable import RouteTable
from limpetdrift.protocol.verdict import Failure
from limpetdrift.protocol.work import ListedEndpoint, Placement, Work
from limpetdrift.state.endpointview import EndpointView
from limpetdrift.state.heldroutes import HeldRoutes
from limpetdrift.state.retrybudget import RetryBudget
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
class Entry:
    """The joined parts of one process."""

    settings: PlatformSettings
    node: Node
    routes: HeldRoutes
    knowledge: Knowledge
    membership: Membership
    registration: Registration
    planning: Planning
    watch: EngineWatch
    guard: CrashGuard
    drain: Drain
    answers: DirectoryAnswers
    callers: Server
    peers: Server


def join_entry(settings: PlatformSettings) -> Entry:
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
        random=randomness,
    )
    base = Base(
        settings=settings,
        node=node,
        routes=HeldRoutes(clock=boot_time),
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
    base: Base,
    store: StoreClient,
    registration: Registration,
    call: PeerCall,
) -> Entry:
    knowledge = Knowledge(
        inputs=KnowledgeInputs(
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
    planning, watch = join_planning(base, call)
    guard = join_guard(base, call)
    callers, drain = _join_callers(base, planning, guard)

    def is_ready() -> bool:
        return knowledge.is_complete and not drain.is_leaving

    def entries() -> tuple[Node, ...]:
        # A process lists itself only when it can serve.
        listed = usable_entries(base.membership)
        if is_ready():
            return tuple(listed)
        return tuple(each for each in listed if each != base.node)

    return Entry(
        settings=base.settings,
        node=base.node,
        routes=base.routes,
        knowledge=knowledge,
        membership=base.membership,
        registration=registration,
        planning=planning,
        watch=watch,
        guard=guard,
        drain=drain,
        answers=DirectoryAnswers(
            entries=entries,
            is_ready=is_ready,
            max_age_seconds=min(
                ANSWER_AGE_SECONDS,
                base.settings.bounds.answer_age_seconds,
            ),
        ),
        callers=callers,
        peers=_join_peers(base.membership, planning, knowledge, guard),
    )


def _join_callers(
    base: Base,
    planning: Planning,
    guard: CrashGuard,
) -> tuple[Server, Drain]:
    bounds = base.settings.bounds
    intake = Intake(
        routes=base.routes,
        clock=boot_time,
        randomness=base.randomness,
        confirmed_within_seconds=bounds.revoke_seconds * CONFIRMED_SHARE,
        sure_within_seconds=bounds.apply_seconds,
    )
    render = make_render(base.randomness)
    front = CallerFront(
        intake=intake,
        forwarder=_join_forwarder(base, planning, intake, guard, render),
        render=render,
        drain=lambda: drain,
    )
    callers = Server(handler=make_caller_handler(front))
    serve_on = bounds.stop_seconds * SERVE_ON_SHARE
    drain = Drain(
        membership=base.membership,
        drained=callers.idle,
        timing=DrainTiming(
            longest_seconds=bounds.stop_seconds - serve_on - END_EARLY_SECONDS,
            serve_on_seconds=serve_on,
            alone_seconds=0,
        ),
        random=base.randomness,
    )
    base.routes.on_change.append(lambda table: _apply_limits(callers, table))
    return callers, drain


def _join_forwarder(
    base: Base,
    planning: Planning,
    intake: Intake,
    guard: CrashGuard,
    render: Render,
) -> Forwarder:
    plain = PlainPlacing(view=base.view, randomness=base.randomness)
    endpoints = HttpClient(
        limits=ClientLimits(
            connect_seconds=CONNECT_SECONDS,
            idle_connections=0,
        ),
    )

    async def place(
        work: Work,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[Placement, Failure]:
        service = base.routes.find_service(work.service)
        if service is None or service.engine is None:
            return await plain.place(work, excluded)
        return await planning.place(work, excluded)

    def release(
        work: Work,
        placement: Placement,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        # Only plans have a grant.
        placing = planning if placement.grant else plain
        placing.release(work, placement, failed)

    return Forwarder(
        parts=ForwardingParts(
            place=place,
            release=release,
            hold=make_holding(endpoints, base.node.name),
            send=make_sending(endpoints, plain.note_load),
            check=lambda work: guard.refusal(work) or check_key(work, intake),
            note_broken=guard.note_broken,
            note_served=guard.note_served,
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
    planning: Planning,
    knowledge: Knowledge,
    guard: CrashGuard,
) -> Server:
    peer_routes = PeerRoutes()
    guard.spread.mount(peer_routes)
    knowledge.relay.register(peer_routes)
    membership.register(peer_routes)
    planning.register(peer_routes)
    routes = Routes()
    peer_routes.mount(routes, '')
    return Server(handler=routes.handle)


def serve_routes(
    add: Callable[[Routes, DirectoryAnswers], None],
    answers: DirectoryAnswers,
) -> Server:
    """Return a server of the routes that a function adds."""
    routes = Routes()
    add(routes, answers)
    return Server(handler=routes.handle)
