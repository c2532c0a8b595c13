"""``limpet-entry``: the data path of one instance."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from limpetdrift import logs
from limpetdrift.programs.entryparts import join_parts
from limpetdrift.programs.serving import (
    announce,
    read_settings,
    serve_on,
    stop_on_signals,
)
from limpetdrift.settings import EntrySettings

PEERS_IDLE_SECONDS = 5.0


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
    async with trio.open_nursery() as nursery:
        parts = join_parts(settings, nursery)
        for task in parts.tasks:
            nursery.start_soon(task)
        callers = await serve_on(
            settings.caller_listen,
            parts.caller_routes,
            nursery,
        )
        peers = await serve_on(
            settings.peer_listen,
            parts.peer_routes,
            nursery,
        )
        announce(
            settings.name,
            callers=callers.address,
            peers=peers.address,
        )

        async def drain() -> None:
            await parts.owner.drained()
            # A run that has ended may still be on its way to its reader.
            await callers.server.idle()
            with trio.move_on_after(PEERS_IDLE_SECONDS):
                await peers.server.idle()

        await stop_on_signals(drain, nursery.cancel_scope)


if __name__ == '__main__':
    main()
