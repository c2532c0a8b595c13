"""``limpet-entry``: the data path of one instance."""

import random
import time
from dataclasses import dataclass
from functools import partial
from typing import Annotated

import cappa
import trio
from expression import Ok

from limpetdrift import logs
from limpetdrift.callers.chat import ChatParts, add_chat_routes
from limpetdrift.callers.streams import (
    StreamParts,
    add_peer_stream_routes,
    add_stream_routes,
)
from limpetdrift.coordination.directplacer import DirectPlacer
from limpetdrift.coordination.drive import DriveParts, drive_run
from limpetdrift.coordination.owner import Owner
from limpetdrift.programs.serving import (
    add_health_routes,
    announce,
    read_settings,
    stop_on_signals,
)
from limpetdrift.protocol.engine import EngineCalls
from limpetdrift.settings import EntrySettings
from limpetdrift.state.retrybudget import RetryBudget
from limpetdrift.state.site import SiteConfig
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server, bound_address, listen


@cappa.command(name='limpet-entry', help='Serve callers at one instance.')
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """The command line."""

    settings: Annotated[
        str,
        cappa.Arg(long='--settings', help='The YAML file of settings.'),
    ]


def main() -> None:
    """Read the settings and serve until stopped."""
    arguments = cappa.parse(Arguments)
    settings = read_settings(arguments.settings, EntrySettings)
    logs.set_up('limpet-entry', settings.log_level)
    trio.run(serve, settings)


async def serve(settings: EntrySettings) -> None:
    """Run one entry until it has drained or is stopped."""
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        owner = make_owner(settings, client, nursery)
        caller_routes = make_caller_routes(settings, client, owner)
        peer_routes = make_peer_routes(settings, client, owner)
        nursery.start_soon(owner.sweep)
        nursery.start_soon(stop_on_signals, owner.drained, nursery.cancel_scope)
        caller_address = await _serve_on(
            settings.caller_listen,
            caller_routes,
            nursery,
        )
        peer_address = await _serve_on(
            settings.peer_listen,
            peer_routes,
            nursery,
        )
        announce(settings.name, callers=caller_address, peers=peer_address)


def make_owner(
    settings: EntrySettings,
    client: HttpClient,
    nursery: trio.Nursery,
) -> Owner:
    """Build the owner of this entry's requests."""
    placer = DirectPlacer(endpoints=lambda: settings.endpoints)
    incarnation = time.time_ns()
    random_source = random.Random()
    engine = EngineCalls(
        client=client,
        silence_seconds=settings.engine_silence_seconds,
    )
    parts = DriveParts(
        name=settings.name,
        incarnation=incarnation,
        engine=engine,
        place=placer.place,
        release=placer.release,
        budget=RetryBudget(),
        nursery=nursery,
        random=random_source,
    )
    return Owner(
        name=settings.name,
        incarnation=incarnation,
        random_source=random_source,
        drive=partial(drive_run, parts),
        nursery=nursery,
    )


def make_caller_routes(
    settings: EntrySettings,
    client: HttpClient,
    owner: Owner,
) -> Routes:
    """Build the callers' API."""
    site = read_settings(settings.site_file, SiteConfig)
    routes = Routes()
    add_health_routes(routes, lambda: True)
    add_chat_routes(
        routes,
        ChatParts(
            site=lambda: site,
            owner=owner,
            admit=lambda request: Ok(None),
        ),
    )
    add_stream_routes(routes, _stream_parts(settings, client, owner, site))
    return routes


def make_peer_routes(
    settings: EntrySettings,
    client: HttpClient,
    owner: Owner,
) -> Routes:
    """Build the peers' API."""
    routes = Routes()
    site = read_settings(settings.site_file, SiteConfig)
    add_peer_stream_routes(
        routes,
        _stream_parts(settings, client, owner, site),
    )
    return routes


def _stream_parts(
    settings: EntrySettings,
    client: HttpClient,
    owner: Owner,
    site: SiteConfig,
) -> StreamParts:
    peers = {node.name: node for node in settings.peers}
    return StreamParts(
        site=lambda: site,
        owner=owner,
        name=settings.name,
        find_entry=peers.get,
        client=client,
        peer_secret=settings.peer_secret.read(),
    )


async def _serve_on(
    address: Address,
    routes: Routes,
    nursery: trio.Nursery,
) -> Address:
    listeners = await listen(address)
    server = Server(handler=routes.handle)
    await nursery.start(server.serve, listeners)
    return bound_address(listeners)


if __name__ == '__main__':
    main()
