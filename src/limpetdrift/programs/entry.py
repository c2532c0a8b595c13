"""``limpet-entry``: runs one entry, which serves callers and its peers."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from limpetdrift import logs
from limpetdrift.programs.entry_wiring import build_components
from limpetdrift.programs.serving import (
    CLOSE_SECONDS,
    announce,
    listen_and_serve,
    stop_on_signals,
)
from limpetdrift.programs.settings_file import load_settings_or_exit
from limpetdrift.settings import EntrySettings


@cappa.command(
    name='limpet-entry', help='Run one entry: serve callers and peers.'
)
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """Arguments of the command line."""

    settings: Annotated[
        str,
        cappa.Arg(long='--settings', help='The YAML file of settings.'),
    ]


def main() -> None:
    """Read the settings file and serve until stopped by a signal."""
    arguments = cappa.parse(Arguments)
    settings = load_settings_or_exit(arguments.settings, EntrySettings)
    logs.set_up('limpet-entry', settings.log_level)
    trio.run(serve, settings)


async def serve(settings: EntrySettings) -> None:
    """Run one entry until it is stopped.

    The first signal starts a drain, after which it ends; SIGINT during the
    drain ends it immediately.
    """
    async with trio.open_nursery() as nursery:
        components = build_components(settings, nursery)

        async def stop() -> None:
            await components.drain.run()
            await components.callers.close(CLOSE_SECONDS)

        await nursery.start(stop_on_signals, stop, nursery.cancel_scope)
        for task in components.tasks:
            nursery.start_soon(task)
        callers = await listen_and_serve(
            settings.caller_listen,
            components.callers,
            nursery,
        )
        peers = await listen_and_serve(
            settings.peer_listen, components.peers, nursery
        )
        await components.join_seeds()
        announce(settings.name, callers=callers, peers=peers)


if __name__ == '__main__':
    main()
