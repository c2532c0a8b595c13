"""Joins the parts of one entry and the routes on its two listeners."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from limpetdrift.callers.chat import ChatParts, add_chat_routes
from limpetdrift.callers.streams import (
    StreamParts,
    add_peer_stream_routes,
    add_stream_routes,
)
from limpetdrift.coordination.configroutes import add_configuration_routes
from limpetdrift.coordination.owner import Owner
from limpetdrift.coordination.ownerstreams import add_owner_stream_routes
from limpetdrift.coordination.peers import PeerRoutes, make_peer_call
from limpetdrift.programs.entryviews import (
    Views,
    join_membership,
    join_views,
    make_node,
)
from limpetdrift.programs.runparts import RunParts, Wiring, join_runs
from limpetdrift.programs.serving import add_health_routes
from limpetdrift.programs.storeparts import StoreParts, join_store
from limpetdrift.settings import EntrySettings
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.routing import Routes

Task = Callable[[], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class EntryParts:
    """The joined parts, ready to serve."""

    views: Views
    owner: Owner
    caller_routes: Routes
    peer_routes: Routes
    tasks: tuple[Task, ...]


def join_parts(settings: EntrySettings, nursery: trio.Nursery) -> EntryParts:
    """Build one entry; nothing runs until its tasks are started."""
    client = HttpClient()
    secret = settings.peer_secret.read()
    wiring = Wiring(
        settings=settings,
        client=client,
        call=make_peer_call(client, secret),
        messages=PeerRoutes(),
        secret=secret,
        nursery=nursery,
    )
    membership = join_membership(
        settings,
        make_node(settings),
        wiring.call,
        wiring.messages,
    )
    store = join_store(
        settings.platform,
        client,
        lambda: len(membership.members()),
    )
    views = join_views(
        settings,
        membership,
        store,
        wiring.call,
        wiring.messages,
    )
    runs = join_runs(wiring, views, store)
    return _join_routes(wiring, views, runs, store)


def _join_routes(
    wiring: Wiring,
    views: Views,
    runs: RunParts,
    store: StoreParts | None,
) -> EntryParts:
    streams = StreamParts(
        site=views.site,
        owner=runs.owner,
        name=wiring.settings.name,
        find_entry=views.find_entry,
        client=wiring.client,
        peer_secret=wiring.secret,
    )
    store_tasks = store.tasks if store else ()
    return EntryParts(
        views=views,
        owner=runs.owner,
        caller_routes=_make_caller_routes(wiring, views, streams),
        peer_routes=_make_peer_routes(wiring, streams),
        tasks=(*store_tasks, *views.tasks, *runs.tasks),
    )


def _make_caller_routes(
    wiring: Wiring,
    views: Views,
    streams: StreamParts,
) -> Routes:
    routes = Routes()
    add_health_routes(routes, lambda: views.may_admit().is_ok())
    add_chat_routes(
        routes,
        ChatParts(
            site=views.site,
            owner=streams.owner,
            admit=lambda request: views.may_admit(),
        ),
    )
    add_stream_routes(routes, streams)
    if views.keeper is not None:
        secret = wiring.settings.operator_secret.read()
        add_configuration_routes(routes, views.keeper, secret)
    return routes


def _make_peer_routes(wiring: Wiring, streams: StreamParts) -> Routes:
    routes = Routes()
    wiring.messages.mount(routes, wiring.secret)
    add_peer_stream_routes(routes, streams)
    add_owner_stream_routes(routes, streams.owner, wiring.secret)
    return routes
