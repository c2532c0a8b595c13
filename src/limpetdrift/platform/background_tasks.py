"""The background tasks of an entry, and which of them it can't do without.

Each begins again after an error. An entry that can serve nobody, because one
of the tasks that it can't do without keeps failing, leaves as if it were told
to by a signal, so that it answers what it has accepted. While it can serve
somebody it stays, however long another task fails: a cause that all entries
share would otherwise end them all.
"""

import signal
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from limpetdrift.logs import note, warn
from limpetdrift.platform.entry_wiring import (
    KEY_STALENESS_SHARE,
    EntryComponents,
)
from limpetdrift.platform.settings import read_settings
from limpetdrift.platform.store_replica import (
    CONFIGURATION_WATCHER,
    ROUTING_RELAY,
)
from limpetdrift.supervision import FailureHook, keep_running, run_contained
from limpetdrift.transport.messages import Address

# The task that accepts the callers' connections.
CALLER_SERVER = 'caller-server'
# For how long each of the tasks that an entry can't do without may keep failing
# before the entry leaves. Callers that connect meanwhile wait for an answer; a
# configuration that can't be confirmed is refused at once.
MAX_FAILING_SECONDS = {
    CALLER_SERVER: 5.0,
    CONFIGURATION_WATCHER: 60.0,
    ROUTING_RELAY: 60.0,
}


class TaskFailingError(Exception):
    """A task that the process can't do without has kept failing."""


def must_leave(name: str, failing_seconds: float, *, refuses_all: bool) -> bool:
    """Return whether an entry has to leave since a task keeps failing.

    ``refuses_all`` is whether it refuses all requests with a key, since no
    configuration was confirmed lately.
    """
    if failing_seconds < MAX_FAILING_SECONDS.get(name, float('inf')):
        return False
    return name == CALLER_SERVER or refuses_all


def make_failure_hook(
    entry: EntryComponents, failing: list[str]
) -> FailureHook:
    """Return the function that makes an entry leave if it can serve nobody.

    It adds the name of the failing task to ``failing``.
    """

    def on_failure(name: str, failing_seconds: float) -> None:
        if entry.drain.is_leaving or not entry.replica.is_synced:
            return
        bound = entry.settings.bounds.revoke_seconds * KEY_STALENESS_SHARE
        refuses_all = entry.routes.age_seconds() > bound
        if not must_leave(name, failing_seconds, refuses_all=refuses_all):
            return
        warn('task keeps failing, leaving', task=name, seconds=failing_seconds)
        failing.append(name)
        signal.raise_signal(signal.SIGTERM)

    return on_failure


def start_tasks(entry: EntryComponents, nursery: trio.Nursery) -> None:
    """Start all background tasks of an entry but its servers."""
    planning = entry.planning
    tasks: dict[str, Callable[[], Awaitable[None]]] = {
        'store-replica': entry.replica.run,
        'planner-client': planning.plan_placer.planner_client.run,
        'group-loads': planning.plan_placer.group_loads.run,
        'engine-reports': planning.report_poller.run,
        'limit-exchange': planning.limit_exchange.run,
        'limit-rows': partial(_follow_limits, entry),
        'crash-guard': entry.crash_guard.run,
        'link-monitor': entry.links.monitor.run,
        'carrier-replication': entry.links.carriers.replicator.run,
        'crash-rows': partial(_follow_crashes, entry),
        'joining': partial(_join_when_synced, entry),
        'settings-check': _check_settings_on_signal,
    }
    for name, run in tasks.items():
        nursery.start_soon(keep_running, name, run)


async def _follow_crashes(entry: EntryComponents) -> None:
    """Learn what crashes endpoints, and keep it in the store."""
    await run_contained(
        'crash-learning', entry.crash_guard.learn, _other_seeds(entry)
    )
    await keep_running('crash-rows', entry.crash_rows.run)


async def _follow_limits(entry: EntryComponents) -> None:
    """Learn the endpoints' rate limits, and keep them in the store.

    The peers that the settings name are asked first.
    """
    planning = entry.planning
    await run_contained(
        'limit-learning', planning.limit_exchange.learn, _other_seeds(entry)
    )
    await keep_running('limit-rows', planning.limit_rows.run)


def _other_seeds(entry: EntryComponents) -> tuple[Address, ...]:
    own_address = entry.node.peer_address
    return tuple(each for each in entry.settings.seeds if each != own_address)


async def _join_when_synced(entry: EntryComponents) -> None:
    """Join the peers once this entry is synced and can serve callers.

    From then on the peers list it in their directory answers.
    """
    await entry.replica.wait_synced()
    note('ready', node=entry.node.name)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_running, 'membership', entry.membership.run)
        nursery.start_soon(keep_running, 'registration', entry.registration.run)


async def _check_settings_on_signal() -> None:
    """Log on each SIGHUP whether the settings file is valid.

    The file is the one that the environment names. No setting can change
    while the process runs, so none is applied.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            settings = read_settings()
            if settings.is_error():
                warn('settings file can not be read', detail=settings.error)
            else:
                note('settings file is valid', instance=settings.ok.instance)
