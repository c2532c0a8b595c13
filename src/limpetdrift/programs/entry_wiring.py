"""Builds the components of one entry and the routes of its two listeners."""

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
from limpetdrift.coordination.administration.config_routes import (
    add_configuration_routes,
)
from limpetdrift.coordination.administration.quarantine_routes import (
    add_quarantine_routes,
)
from limpetdrift.coordination.administration.status_routes import (
    StatusInputs,
    add_status_routes,
)
from limpetdrift.coordination.crashes.quarantine import Quarantine
from limpetdrift.coordination.membership.discovery import add_discovery_routes
from limpetdrift.coordination.membership.drain import Drain, DrainTiming
from limpetdrift.coordination.peers import PeerRoutes, make_peer_call
from limpetdrift.coordination.runs.run_streams import add_owner_stream_routes
from limpetdrift.programs.process_accounts import make_process_accounts
from limpetdrift.programs.run_wiring import RequestInputs, Wiring, build_runs
from limpetdrift.programs.serving import Task, add_health_routes
from limpetdrift.programs.site_wiring import (
    SiteView,
    build_membership,
    build_site_view,
)
from limpetdrift.programs.store_wiring import StoreAccess, build_store
from limpetdrift.settings import EntrySettings
from limpetdrift.state.run import RunRequest
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server
from limpetdrift.verdict import Failure

# Bounds how long a drain waits until the peer listener is idle. It may never
# be, since peers go on sending requests to a draining entry.
PEER_IDLE_TIMEOUT_SECONDS = 5.0

Admit = Callable[[], Result[None, Failure]]


@dataclass(frozen=True, kw_only=True)
class EntryComponents:
    """The components of one entry, ready to be started.

    ``callers`` and ``peers`` serve the two listeners. ``join_seeds`` is
    awaited once they listen; ``tasks`` run until the entry stops.
    """

    callers: Server
    peers: Server
    drain: Drain
    join_seeds: Task
    tasks: tuple[Task, ...]


def build_components(
    settings: EntrySettings, nursery: trio.Nursery
) -> EntryComponents:
    """Build the components of one entry without starting any of them.

    Background work that requests cause later runs in ``nursery``.
    """
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
    site_membership = build_membership(
        settings,
        client,
        wiring.call,
        wiring.peer_routes,
    )
    store = build_store(
        settings.platform,
        client,
        lambda: len(site_membership.membership.members()),
    )
    site_view = build_site_view(
        settings,
        site_membership,
        store,
        wiring.call,
        wiring.peer_routes,
    )
    runs = build_runs(wiring, site_view, store)
    return _build_servers(wiring, site_view, runs, store)


def _build_servers(
    wiring: Wiring,
    site_view: SiteView,
    runs: RequestInputs,
    store: StoreAccess | None,
) -> EntryComponents:
    streams = StreamInputs(
        read_site=site_view.read_site,
        run_registry=runs.registry,
        name=wiring.settings.name,
        find_entry=site_view.find_entry,
        client=wiring.client,
        peer_secret=wiring.secret,
    )
    accounts = make_process_accounts(wiring.settings.limits)
    peers = Server(
        handler=_make_peer_routes(wiring, streams).handle,
        account=accounts.internal,
    )
    caller_routes = Routes()
    callers = Server(handler=caller_routes.handle, account=accounts.callers)

    async def wait_until_idle() -> None:
        await runs.registry.wait_until_idle()
        await runs.services.wait_until_idle()
        # The answer of a run that has ended may not be fully sent yet.
        await callers.wait_idle()
        with trio.move_on_after(PEER_IDLE_TIMEOUT_SECONDS):
            await peers.wait_idle()

    drain = Drain(
        membership=site_view.membership,
        wait_until_idle=wait_until_idle,
        timing=DrainTiming(max_deadline_seconds=LONGEST_DEADLINE_SECONDS),
        randomness=random.Random(),
    )

    def admit() -> Result[None, Failure]:
        return drain.admit().bind(lambda _: site_view.check_admission())

    add_health_routes(caller_routes, lambda: admit().is_ok())
    _add_caller_routes(caller_routes, site_view, runs, streams, admit)
    _add_operator_routes(caller_routes, wiring, site_view, runs, drain)
    store_tasks = store.tasks if store else ()
    return EntryComponents(
        callers=callers,
        peers=peers,
        drain=drain,
        join_seeds=site_view.membership.join_seeds,
        tasks=(*store_tasks, *site_view.tasks, *runs.tasks),
    )


def _add_caller_routes(
    routes: Routes,
    site_view: SiteView,
    runs: RequestInputs,
    streams: StreamInputs,
    admit: Admit,
) -> None:
    add_discovery_routes(routes, site_view.membership, random.Random())
    add_chat_routes(
        routes,
        ChatInputs(
            read_site=site_view.read_site,
            run_registry=runs.registry,
            admit=partial(_admit_run, admit, runs.quarantine),
        ),
    )
    add_stream_routes(routes, streams)
    add_service_routes(
        routes,
        ServiceInputs(
            read_site=site_view.read_site,
            caller=runs.services,
            make_handle=runs.registry.make_handle,
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
    site_view: SiteView,
    runs: RequestInputs,
    drain: Drain,
) -> None:
    secret = wiring.settings.operator_secret.read()
    add_quarantine_routes(routes, runs.quarantine, secret)
    add_status_routes(
        routes,
        StatusInputs(
            node=site_view.node,
            membership=site_view.membership,
            endpoints=site_view.endpoints,
            home=runs.home,
            quarantine=runs.quarantine,
            configuration=site_view.configuration_manager,
            begin_drain=partial(wiring.nursery.start_soon, drain.run),
            admits=lambda: (
                drain.admit().is_ok() and site_view.check_admission().is_ok()
            ),
            running=lambda: runs.registry.active,
        ),
        secret,
    )
    if site_view.configuration_manager is not None:
        add_configuration_routes(
            routes, site_view.configuration_manager, secret
        )


def _make_peer_routes(wiring: Wiring, streams: StreamInputs) -> Routes:
    routes = Routes()
    wiring.peer_routes.mount(routes, wiring.secret)
    add_peer_stream_routes(routes, streams)
    add_owner_stream_routes(routes, streams.run_registry, wiring.secret)
    return routes
