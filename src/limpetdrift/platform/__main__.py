"""``python3 -m limpetdrift.platform``: the entry on the platform."""

import signal
import sys
from functools import partial

import trio

from limpetdrift import logs
from limpetdrift.platform.directory import (
    add_directory_routes,
    add_readiness_routes,
)
from limpetdrift.platform.entry_wiring import (
    EntryComponents,
    build_entry,
    serve_routes,
)
from limpetdrift.platform.metrics import (
    add_metrics_routes,
    metrics_address,
    register_gauges,
)
from limpetdrift.platform.settings import PlatformSettings, read_settings
from limpetdrift.programs.exits import BAD_SETTINGS_EXIT
from limpetdrift.programs.serving import (
    listen_and_serve,
    stop_on_signals,
)
from limpetdrift.protocol.codec import encode


def main() -> None:
    """Read the settings and serve until stopped."""
    path, only_check = _read_command_line()
    settings = read_settings(path or None)
    if settings.is_error():
        sys.stderr.write(f'{settings.error}\n')
        sys.exit(BAD_SETTINGS_EXIT)
    if only_check:
        sys.stdout.buffer.write(encode(settings.ok) + b'\n')
        return
    lines = logs.set_up_queue('limpet-platform-entry')
    trio.run(serve, settings.ok)
    lines.flush()


def _read_command_line() -> tuple[str, bool]:
    """Return the settings file, and whether it is only to be checked."""
    if len(sys.argv) == 1:
        return '', False
    # Its library takes a quarter of the start, and the platform's own command
    # has no arguments.
    from limpetdrift.platform.cmdline import parse_arguments

    arguments = parse_arguments()
    return arguments.settings, arguments.check


async def serve(settings: PlatformSettings) -> None:
    """Run one entry until it has drained or is stopped at once."""
    entry = build_entry(settings)
    listeners = settings.listeners
    served = (
        (listeners.callers, entry.callers),
        (listeners.peers, entry.peers),
        (
            listeners.directory,
            serve_routes(add_directory_routes, entry.directory),
        ),
        (
            listeners.readiness,
            serve_routes(add_readiness_routes, entry.directory),
        ),
        (
            metrics_address(settings),
            serve_routes(add_metrics_routes, entry.directory),
        ),
    )
    tasks = (
        entry.replica.run,
        entry.planning.planner_client.run,
        entry.watch.run,
        entry.guard.run,
        partial(_take_part_when_ready, entry),
        _reload_on_signal,
    )
    register_gauges(entry)
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task)
        for address, server in served:
            if address is not None:
                await listen_and_serve(address, server, nursery)
        logs.note('started', instance=settings.instance, node=entry.node.name)
        await stop_on_signals(_make_stop(entry), nursery.cancel_scope)
    logs.note('stopped', node=entry.node.name)


def _make_stop(entry: EntryComponents):
    async def stop() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.registration.leave)
            await entry.drain.run()
            nursery.cancel_scope.cancel()

    return stop


async def _take_part_when_ready(entry: EntryComponents) -> None:
    """Join the peers once callers can be served; they list this entry then."""
    await entry.replica.wait_synced()
    logs.note('ready', node=entry.node.name)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.membership.run)
        nursery.start_soon(entry.registration.run)


async def _reload_on_signal() -> None:
    """Read the settings again; what they name can't change while it runs."""
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        async for _ in received:
            settings = read_settings()
            if settings.is_error():
                logs.warn('settings can not be read', detail=settings.error)
            else:
                logs.note('settings read', instance=settings.ok.instance)


if __name__ == '__main__':
    main()
