"""Joins the parts of one entry and the routes on its two listeners."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from expression import Error, Result

from limpetdrift.callers.chat import (
    ChatInputs,
    add_chat_routes,
)
from limpetdrift.callers.headers import LONGEST_DEADLINE_SECONDS
from limpetdrift.callers.services import ServiceInputs, add_service_routes
from limpetdrift.callers.streams import (
    StreamInputs,
    add_peer_stream_routes,
    add_stream_routes,
)
from limpetdrift.coordination.config_routes import add_configuration_routes
from limpetdrift.coordination.discovery import add_discovery_routes
from limpetdrift.coordination.drain import Drain, DrainTiming
from limpetdrift.coordination.peers import PeerRoutes, make_peer_call
from limpetdrift.coordination.quarantine import Quarantine
from limpetdrift.coordination.quarantine_routes import add_quarantine_routes
from limpetdrift.coordination.run_streams import add_owner_stream_routes
from limpetdrift.coordination.status_routes import (
    StatusInputs,
    add_running_routes,
)
from limpetdrift.programs.run_wiring import RequestInputs, Wiring, build_runs
from limpetdrift.programs.serving import Task, add_health_routes
from limpetdrift.programs.site_wiring import (
    SiteView,
    build_membership,
    build_site_view,
)
from limpetdrift.programs.store_wiring import StoreParts, build_store
from limpetdrift.protocol.verdict import Failure
from limpetdrift.settings import EntrySettings
from limpetdrift.state.run import RunRequest
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server

PEERS_IDLE_SECONDS = 5.0

Admit = Callable[[], Result[None, Failure]]


@dataclass(frozen=True, kw_only=True)
class EntryComponents:
    """The joined parts, ready to serve."""

    callers: Server
    peers: Server
    drain: Drain
    join_seeds: Task
    tasks: tuple[Task, ...]


def build_components(
    settings: EntrySettings, nursery: trio.Nursery
) -> EntryComponents:
    """Build one entry; nothing runs until its tasks are started."""
    client = HttpClient()
    secret = settings.peer_secret.read()
    wiring = Wiring(
        settings=settings,
        client=client,
        call=make_peer_call(client, secret),
        peer_routes=PeerRoutes(),
        secret=secret,
        nursery=nursery,
    )
    surrounding = build_membership(
        settings,
        client,
        wiring.call,
        wiring.peer_routes,
    )
    store = build_store(
        settings.platform,
        client,
        lambda: len(surrounding.membership.members()),
    )
    views = build_site_view(
        settings,
        surrounding,
        store,
        wiring.call,
        wiring.peer_routes,
    )
    runs = build_runs(wiring, views, store)
    return _join_servers(wiring, views, runs, store)


def _join_servers(
    wiring: Wiring,
    views: SiteView,
    runs: RequestInputs,
    store: StoreParts | None,
) -> EntryComponents:
    streams = StreamInputs(
        read_site=views.read_site,
        run_registry=runs.owner,
        name=wiring.settings.name,
        find_entry=views.find_entry,
        client=wiring.client,
        peer_secret=wiring.secret,
    )
    peers = Server(handler=_make_peer_routes(wiring, streams).handle)
    caller_routes = Routes()
    callers = Server(handler=caller_routes.handle)

    async def wait_until_idle() -> None:
        await runs.owner.wait_until_idle()
        await runs.services.wait_until_idle()
        # A run that has ended may still be on its way to its reader.
        await callers.wait_idle()
        with trio.move_on_after(PEERS_IDLE_SECONDS):
            await peers.wait_idle()

    drain = Drain(
        membership=views.membership,
        wait_until_idle=wait_until_idle,
        timing=DrainTiming(max_deadline_seconds=LONGEST_DEADLINE_SECONDS),
        randomness=random.Random(),
    )

    def admit() -> Result[None, Failure]:
        return drain.admit().bind(lambda _: views.check_admission())

    add_health_routes(caller_routes, lambda: admit().is_ok())
    _add_caller_routes(caller_routes, views, runs, streams, admit)
    _add_operator_routes(caller_routes, wiring, views, runs, drain)
    store_tasks = store.tasks if store else ()
    return EntryComponents(
        callers=callers,
        peers=peers,
        drain=drain,
        join_seeds=views.membership.join_seeds,
        tasks=(*store_tasks, *views.tasks, *runs.tasks),
    )


def _add_caller_routes(
    routes: Routes,
    views: SiteView,
    runs: RequestInputs,
    streams: StreamInputs,
    admit: Admit,
) -> None:
    add_discovery_routes(routes, views.membership, random.Random())
    add_chat_routes(
        routes,
        ChatInputs(
            read_site=views.read_site,
            run_registry=runs.owner,
            admit=partial(_admit_run, admit, runs.quarantine),
        ),
    )
    add_stream_routes(routes, streams)
    add_service_routes(
        routes,
        ServiceInputs(
            read_site=views.read_site,
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
    views: SiteView,
    runs: RequestInputs,
    drain: Drain,
) -> None:
    secret = wiring.settings.operator_secret.read()
    add_quarantine_routes(routes, runs.quarantine, secret)
    add_running_routes(
        routes,
        StatusInputs(
            node=views.node,
            membership=views.membership,
            endpoints=views.endpoints,
            home=runs.home,
            quarantine=runs.quarantine,
            configuration=views.keeper,
            begin_drain=partial(wiring.nursery.start_soon, drain.run),
            admits=lambda: (
                drain.admit().is_ok() and views.check_admission().is_ok()
            ),
            running=lambda: runs.owner.active,
        ),
        secret,
    )
    if views.keeper is not None:
        add_configuration_routes(routes, views.keeper, secret)


def _make_peer_routes(wiring: Wiring, streams: StreamInputs) -> Routes:
    routes = Routes()
    wiring.peer_routes.mount(routes, wiring.secret)
    add_peer_stream_routes(routes, streams)
    add_owner_stream_routes(routes, streams.run_registry, wiring.secret)
    return routes
