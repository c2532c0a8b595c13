"""Reads the settings of an entry on the platform, and serves until stopped."""

import sys

import trio

from limpetdrift import logs
from limpetdrift.build_version import report_build_version
from limpetdrift.error_logs import log_leaves
from limpetdrift.platform.background_tasks import (
    CALLER_SERVER,
    TaskFailingError,
    make_failure_hook,
    start_tasks,
)
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
from limpetdrift.supervision import failure_hook, run_contained

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
    """Run one entry until it has drained, or SIGINT ends the drain.

    Raises ``TaskFailingError`` if it drained because it could serve nobody.
    """
    entry = build_entry(settings)
    listeners = settings.listeners
    servers = (
        (CALLER_SERVER, listeners.callers, entry.callers),
        ('peer-server', listeners.peers, entry.peers),
        (
            'directory-server',
            listeners.directory,
            serve_routes(
                add_directory_routes, entry.directory, entry.accounts.callers
            ),
        ),
        (
            'readiness-server',
            listeners.readiness,
            serve_routes(
                add_readiness_routes, entry.directory, entry.accounts.internal
            ),
        ),
        (
            'metrics-server',
            metrics_address(settings),
            serve_routes(
                add_metrics_routes, entry.directory, entry.accounts.internal
            ),
        ),
    )
    register_gauges(entry)
    failing: list[str] = []
    failure_hook.set(make_failure_hook(entry, failing))
    async with trio.open_nursery() as nursery:
        await nursery.start(
            stop_on_signals, _make_stop(entry), nursery.cancel_scope
        )
        start_tasks(entry, nursery)
        for name, address, server in servers:
            if address is not None:
                await listen_and_serve(address, server, nursery, name)
        logs.note('started', instance=settings.instance, node=entry.node.name)
        report_build_version(settings.instance)
    cut = entry.callers.cut_at_end
    logs.note(
        'stopped',
        node=entry.node.name,
        cut=cut.count,
        longest_cut_seconds=round(cut.longest_seconds, 3),
    )
    if failing:
        raise TaskFailingError(*failing)


def _make_stop(entry: EntryComponents):
    async def stop() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                run_contained, 'registration', entry.registration.leave
            )
            await run_contained('drain', entry.drain.run)
            await run_contained('drain', entry.callers.close, CLOSE_SECONDS)
            nursery.cancel_scope.cancel()

    return stop
