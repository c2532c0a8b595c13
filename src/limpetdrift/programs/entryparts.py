"""Joins the parts of one entry and the routes on its two listeners."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from expression import Error, Result

from limpetdrift.callers.chat import (
    ChatParts,
    add_chat_routes,
)
from limpetdrift.callers.headers import LONGEST_DEADLINE_SECONDS
from limpetdrift.callers.services import ServiceParts, add_service_routes
from limpetdrift.callers.streams import (
    StreamParts,
    add_peer_stream_routes,
    add_stream_routes,
)
from limpetdrift.coordination.configroutes import add_configuration_routes
from limpetdrift.coordination.discovery import add_discovery_routes
from limpetdrift.coordination.drain import Drain, DrainTiming
from limpetdrift.coordination.ownerstreams import add_owner_stream_routes
from limpetdrift.coordination.peers import PeerRoutes, make_peer_call
from limpetdrift.coordination.quarantine import Quarantine
from limpetdrift.coordination.quarantineroutes import add_quarantine_routes
from limpetdrift.coordination.runningroutes import (
    RunningParts,
    add_running_routes,
)
from limpetdrift.programs.entryviews import (
    Views,
    join_surrounding,
    join_views,
)
from limpetdrift.programs.runparts import RunParts, Wiring, join_runs
from limpetdrift.programs.serving import Task, add_health_routes
from limpetdrift.programs.storeparts import StoreParts, join_store
from limpetdrift.protocol.verdict import Failure
from limpetdrift.settings import EntrySettings
from limpetdrift.state.run import RunRequest
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server

PEERS_IDLE_SECONDS = 5.0

Admit = Callable[[], Result[None, Failure]]


@dataclass(frozen=True, kw_only=True)
class EntryParts:
    """The joined parts, ready to serve."""

    callers: Server
    peers: Server
    drain: Drain
    join_seeds: Task
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
    surrounding = join_surrounding(
        settings,
        client,
        wiring.call,
        wiring.messages,
    )
    store = join_store(
        settings.platform,
        client,
        lambda: len(surrounding.membership.members()),
    )
    views = join_views(
        settings,
        surrounding,
        store,
        wiring.call,
        wiring.messages,
    )
    runs = join_runs(wiring, views, store)
    return _join_servers(wiring, views, runs, store)


def _join_servers(
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
    peers = Server(handler=_make_peer_routes(wiring, streams).handle)
    caller_routes = Routes()
    callers = Server(handler=caller_routes.handle)

    async def drained() -> None:
        await runs.owner.drained()
        await runs.services.drained()
        # A run that has ended may still be on its way to its reader.
        await callers.idle()
        with trio.move_on_after(PEERS_IDLE_SECONDS):
            await peers.idle()

    drain = Drain(
        membership=views.membership,
        drained=drained,
        timing=DrainTiming(longest_seconds=LONGEST_DEADLINE_SECONDS),
        random=random.Random(),
    )

    def admit() -> Result[None, Failure]:
        return drain.admit().bind(lambda _: views.may_admit())

    add_health_routes(caller_routes, lambda: admit().is_ok())
    _add_caller_routes(caller_routes, views, runs, streams, admit)
    _add_operator_routes(caller_routes, wiring, views, runs, drain)
    store_tasks = store.tasks if store else ()
    return EntryParts(
        callers=callers,
        peers=peers,
        drain=drain,
        join_seeds=views.membership.join_seeds,
        tasks=(*store_tasks, *views.tasks, *runs.tasks),
    )


def _add_caller_routes(
    routes: Routes,
    views: Views,
    runs: RunParts,
    streams: StreamParts,
    admit: Admit,
) -> None:
    add_discovery_routes(routes, views.membership, random.Random())
    add_chat_routes(
        routes,
        ChatParts(
            site=views.site,
            owner=runs.owner,
            admit=partial(_admit_run, admit, runs.quarantine),
        ),
    )
    add_stream_routes(routes, streams)
    add_service_routes(
        routes,
        ServiceParts(
            site=views.site,
            caller=runs.services,
            make_handle=runs.owner.make_handle,
            admit=lambda request: admit(),
        ),
    )


def _admit_run(
    admit: Admit,
    quarantine: Quarantine,
    request: RunRequest,
) -> Result[None, Failure]:
    refusal = quarantine.refusal(request.fingerprint)
    if refusal is not None:
        return Error(refusal)
    return admit()


def _add_operator_routes(
    routes: Routes,
    wiring: Wiring,
    views: Views,
    runs: RunParts,
    drain: Drain,
) -> None:
    secret = wiring.settings.operator_secret.read()
    add_quarantine_routes(routes, runs.quarantine, secret)
    add_running_routes(
        routes,
        RunningParts(
            node=views.node,
            membership=views.membership,
            endpoints=views.endpoints,
            home=runs.home,
            quarantine=runs.quarantine,
            keeper=views.keeper,
            begin_drain=partial(wiring.nursery.start_soon, drain.run),
            admits=lambda: drain.admit().is_ok() and views.may_admit().is_ok(),
            running=lambda: runs.owner.active,
        ),
        secret,
    )
    if views.keeper is not None:
        add_configuration_routes(routes, views.keeper, secret)


def _make_peer_routes(wiring: Wiring, streams: StreamParts) -> Routes:
    routes = Routes()
    wiring.messages.mount(routes, wiring.secret)
    add_peer_stream_routes(routes, streams)
    add_owner_stream_routes(routes, streams.owner, wiring.secret)
    return routes
