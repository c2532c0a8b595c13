"""Reads the settings of an entry on the platform, and serves until stopped."""

import signal
import sys
from functools import partial

import trio

from limpetdrift import logs
from limpetdrift.build_version import report_build_version
from limpetdrift.error_logs import log_leaves
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
from limpetdrift.programs.exits import BAD_SETTINGS_EXIT, FAILED_EXIT
from limpetdrift.programs.serving import (
    CLOSE_SECONDS,
    listen_and_serve,
    stop_on_signals,
)
from limpetdrift.protocol.codec import encode
from limpetdrift.transport.messages import Address

# A full queue is written within it, if anyone reads the log.
FLUSH_SECONDS = 1.0


def run() -> None:
    """Serve until stopped; with ``--check``, only check the settings.

    Invalid settings end the process with status 2. An error that ends it has
    a log line for each of its parts, and status 1.
    """
    path, is_check_only = _read_command_line()
    settings = read_settings(path or None)
    if settings.is_error():
        sys.stderr.write(f'{settings.error}\n')
        sys.exit(BAD_SETTINGS_EXIT)
    if is_check_only:
        sys.stdout.buffer.write(encode(settings.ok) + b'\n')
        return
    log_queue = logs.set_up_queue('limpet-platform-entry')
    try:
        trio.run(serve, settings.ok)
    except Exception as error:
        log_leaves('ended by an error', error)
        sys.exit(FAILED_EXIT)
    finally:
        log_queue.flush(FLUSH_SECONDS)


def _read_command_line() -> tuple[str, bool]:
    """Return the path of the settings file, and whether only to check it.

    The path is empty where the environment names the file.
    """
    if len(sys.argv) == 1:
        return '', False
    # Imported only if needed: loading cappa takes a quarter of the start-up
    # time, and the platform starts the program without arguments.
    from limpetdrift.platform.cmdline import parse_arguments

    arguments = parse_arguments()
    return arguments.settings, arguments.check


async def serve(settings: PlatformSettings) -> None:
    """Run one entry until it has drained, or SIGINT ends the drain."""
    entry = build_entry(settings)
    listeners = settings.listeners
    servers = (
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
        entry.planning.plan_placer.planner_client.run,
        entry.planning.plan_placer.group_loads.run,
        entry.planning.report_poller.run,
        entry.planning.limit_exchange.run,
        partial(_follow_limits, entry),
        entry.crash_guard.run,
        entry.links.monitor.run,
        entry.links.carriers.replicator.run,
        partial(_follow_crashes, entry),
        partial(_join_when_synced, entry),
        _check_settings_on_signal,
    )
    register_gauges(entry)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            stop_on_signals, _make_stop(entry), nursery.cancel_scope
        )
        for task in tasks:
            nursery.start_soon(task)
        for address, server in servers:
            if address is not None:
                await listen_and_serve(address, server, nursery)
        logs.note('started', instance=settings.instance, node=entry.node.name)
        report_build_version(settings.instance)
    cut = entry.callers.cut_at_end
    logs.note(
        'stopped',
        node=entry.node.name,
        cut=cut.count,
        longest_cut_seconds=round(cut.longest_seconds, 3),
    )


def _make_stop(entry: EntryComponents):
    async def stop() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.registration.leave)
            await entry.drain.run()
            await entry.callers.close(CLOSE_SECONDS)
            nursery.cancel_scope.cancel()

    return stop


async def _follow_crashes(entry: EntryComponents) -> None:
    """Learn what crashes endpoints, and keep it in the store."""
    await entry.crash_guard.learn(_other_seeds(entry))
    await entry.crash_rows.run()


async def _follow_limits(entry: EntryComponents) -> None:
    """Learn the endpoints' rate limits, and keep them in the store.

    The peers that the settings name are asked first.
    """
    await entry.planning.limit_exchange.learn(_other_seeds(entry))
    await entry.planning.limit_rows.run()


def _other_seeds(entry: EntryComponents) -> tuple[Address, ...]:
    own_address = entry.node.peer_address
    return tuple(each for each in entry.settings.seeds if each != own_address)


async def _join_when_synced(entry: EntryComponents) -> None:
    """Join the peers once this entry is synced and can serve callers.

    From then on the peers list it in their directory answers.
    """
    await entry.replica.wait_synced()
    logs.note('ready', node=entry.node.name)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.membership.run)
        nursery.start_soon(entry.registration.run)


async def _check_settings_on_signal() -> None:
    """Log on each SIGHUP whether the settings file is valid.

    The file is the one that the environment names. No setting can change
    while the process runs, so none is applied.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            settings = read_settings()
            if settings.is_error():
                logs.warn(
                    'settings file can not be read', detail=settings.error
                )
            else:
                logs.note(
                    'settings file is valid', instance=settings.ok.instance
                )
