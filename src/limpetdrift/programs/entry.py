"""``limpet-entry``: the data path of one instance."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from limpetdrift import logs
from limpetdrift.programs.entry_wiring import build_components
from limpetdrift.programs.serving import (
    announce,
    listen_and_serve,
    stop_on_signals,
)
from limpetdrift.programs.settings_file import load_settings_or_exit
from limpetdrift.settings import EntrySettings


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
    settings = load_settings_or_exit(arguments.settings, EntrySettings)
    logs.set_up('limpet-entry', settings.log_level)
    trio.run(serve, settings)


async def serve(settings: EntrySettings) -> None:
    """Run one entry until it has drained or is stopped."""
    async with trio.open_nursery() as nursery:
        parts = build_components(settings, nursery)
        for task in parts.tasks:
            nursery.start_soon(task)
        callers = await listen_and_serve(
            settings.caller_listen,
            parts.callers,
            nursery,
        )
        peers = await listen_and_serve(
            settings.peer_listen, parts.peers, nursery
        )
        await parts.join_seeds()
        announce(settings.name, callers=callers, peers=peers)
        await stop_on_signals(parts.drain.run, nursery.cancel_scope)


if __name__ == '__main__':
    main()
