"""Joins the parts of one entry: placement, reclaim, owner and APIs."""

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import trio
from expression import Ok

from limpetdrift.callers.chat import ChatParts, ReadSite, add_chat_routes
from limpetdrift.callers.streams import (
    StreamParts,
    add_peer_stream_routes,
    add_stream_routes,
)
from limpetdrift.coordination.drive import (
    DriveParts,
    drive_run,
    refuse_once,
)
from limpetdrift.coordination.home import Home
from limpetdrift.coordination.owner import Owner
from limpetdrift.coordination.ownerstreams import add_owner_stream_routes
from limpetdrift.coordination.peers import (
    PEER_SECRET_HEADER,
    PeerRoutes,
    make_peer_call,
)
from limpetdrift.coordination.placer import Placer, PlacerInputs
from limpetdrift.coordination.policies import DEFAULT_POLICY, POLICIES
from limpetdrift.coordination.probing import ProbeState
from limpetdrift.coordination.reclaim import Reclaimer, ReclaimInputs
from limpetdrift.coordination.singlerun import SingleRuns
from limpetdrift.programs.serving import add_health_routes, read_settings
from limpetdrift.programs.storeparts import join_claims, join_store
from limpetdrift.protocol.engine import EngineCalls
from limpetdrift.protocol.enginereports import make_engine_reports
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.settings import EntrySettings
from limpetdrift.state.prefixes import PrefixPlaces
from limpetdrift.state.retrybudget import RetryBudget
from limpetdrift.state.site import SiteConfig
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.routing import Routes

Task = Callable[[], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class Views:
    """What this entry believes of the site around it.

    Each is a function, since beliefs change while requests run.
    """

    node: Node
    live_entries: Callable[[], tuple[Node, ...]]
    endpoints: Callable[[], tuple[Endpoint, ...]]
    site: ReadSite

    def find_entry(self, name: str) -> Node | None:
        """Return the live entry of that name."""
        for entry in self.live_entries():
            if entry.name == name:
                return entry
        return None


@dataclass(frozen=True, kw_only=True)
class EntryParts:
    """The joined parts, ready to serve."""

    views: Views
    owner: Owner
    caller_routes: Routes
    peer_routes: Routes
    tasks: tuple[Task, ...]


def make_views(settings: EntrySettings) -> Views:
    """Build the views from the settings alone."""
    node = Node(
        name=settings.name,
        incarnation=time.time_ns(),
        role=Role.ENTRY,
        region=settings.region,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_listen,
        peer_address=settings.peer_listen,
    )
    entries = (node, *settings.peers)
    site = read_settings(settings.site_file, SiteConfig)
    return Views(
        node=node,
        live_entries=lambda: entries,
        endpoints=lambda: settings.endpoints,
        site=lambda: site,
    )


def join_parts(settings: EntrySettings, nursery: trio.Nursery) -> EntryParts:
    """Build one entry; nothing runs until its tasks are started."""
    views = make_views(settings)
    client = HttpClient()
    secret = settings.peer_secret.read()
    call = make_peer_call(client, secret)
    reports = make_engine_reports(client)
    home = Home(policy=POLICIES[DEFAULT_POLICY], reports=reports)
    placer = Placer(
        inputs=PlacerInputs(
            node=views.node,
            live_entries=views.live_entries,
            endpoints=views.endpoints,
            call=call,
        ),
        home=home,
        state=ProbeState(random=random.Random(), places=PrefixPlaces()),
    )
    messages = PeerRoutes()
    engine = EngineCalls(
        client=client,
        silence_seconds=settings.engine_silence_seconds,
    )
    store = join_store(
        settings.platform,
        client,
        lambda: len(views.live_entries()),
    )
    run_once, store_tasks = refuse_once, ()
    if store is not None:
        claims = join_claims(store, views.node, call)
        claims.mount(messages)
        owners = EngineCalls(
            client=client,
            silence_seconds=settings.engine_silence_seconds,
            headers=((PEER_SECRET_HEADER, secret),),
        )
        single = SingleRuns(claims=claims, engine=engine, owners=owners)
        run_once = single.run
        store_tasks = (*store.tasks, claims.run)
    drive_parts = DriveParts(
        name=settings.name,
        incarnation=views.node.incarnation,
        engine=engine,
        place=placer.place,
        release=placer.release,
        run_once=run_once,
        budget=RetryBudget(),
        nursery=nursery,
        random=random.Random(),
    )
    owner = Owner(
        name=settings.name,
        incarnation=views.node.incarnation,
        random_source=random.Random(),
        drive=partial(drive_run, drive_parts),
        nursery=nursery,
    )
    reclaimer = Reclaimer(
        inputs=ReclaimInputs(
            node=views.node,
            live_entries=views.live_entries,
            endpoints=views.endpoints,
            call=call,
            reports=reports,
            owns=owner.owns_attempt,
        ),
    )
    home.mount(messages)
    reclaimer.mount(messages)
    streams = StreamParts(
        site=views.site,
        owner=owner,
        name=settings.name,
        find_entry=views.find_entry,
        client=client,
        peer_secret=secret,
    )
    return EntryParts(
        views=views,
        owner=owner,
        caller_routes=_make_caller_routes(views, owner, streams),
        peer_routes=_make_peer_routes(messages, streams),
        tasks=(
            home.run,
            placer.run,
            reclaimer.run,
            owner.sweep,
            *store_tasks,
        ),
    )


def _make_caller_routes(
    views: Views,
    owner: Owner,
    streams: StreamParts,
) -> Routes:
    routes = Routes()
    add_health_routes(routes, lambda: True)
    add_chat_routes(
        routes,
        ChatParts(
            site=views.site,
            owner=owner,
            admit=lambda request: Ok(None),
        ),
    )
    add_stream_routes(routes, streams)
    return routes


def _make_peer_routes(
    messages: PeerRoutes,
    streams: StreamParts,
) -> Routes:
    routes = Routes()
    messages.mount(routes, streams.peer_secret)
    add_peer_stream_routes(routes, streams)
    add_owner_stream_routes(routes, streams.owner, streams.peer_secret)
    return routes
