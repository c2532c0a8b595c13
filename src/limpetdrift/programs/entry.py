"""``limpet-entry``: the data path of one instance."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import trio

from limpetdrift import logs
from limpetdrift.programs.entryparts import join_parts
from limpetdrift.programs.serving import (
    announce,
    serve_on,
    stop_on_signals,
)
from limpetdrift.programs.settingsfile import read_settings
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
            parts.callers,
            nursery,
        )
        peers = await serve_on(settings.peer_listen, parts.peers, nursery)
        await parts.join_seeds()
        announce(settings.name, callers=callers, peers=peers)
        await stop_on_signals(parts.drain.run, nursery.cancel_scope)


if __name__ == '__main__':
    main()
