"""Random faults of entries, the store and endpoints, which may overlap."""

import random
import signal
import subprocess
import time
from collections.abc import Awaitable, Callable

import trio

from limpet_standins.platform_endpoints import RateLimit
from limpet_standins.relay import RelayFaults
from soak.site import STOP_GRACE_SECONDS, EntryProcess, Site

Fault = Callable[[Site, random.Random], Awaitable[None]]
# Ranges of random delays.
_PAUSE_SECONDS = (0.2, 1.2)
_RESTART_DELAY_SECONDS = (0.1, 0.8)
# Numbers of faults that begin at the same time.
_FAULTS_AT_ONCE = (1, 1, 2)
# The time for which a sound endpoint falls silent.
_SILENCE_SECONDS = (0.8, 1.8)
_BETWEEN_SILENCES_SECONDS = (1.5, 3.0)
# Signals that an entry gets after the SIGTERM that stops it.
_SIGNALS_WHILE_STOPPING = (
    (),
    (signal.SIGTERM,),
    (signal.SIGHUP,),
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
)
_STORE_ERROR_STATUSES = (503, 429)
# For how long an endpoint says that it leaves before the list shows it, and for
# how long one turns requests away.
_ANNOUNCEMENT_SECONDS = (4.0, 8.0)
_BACK_OFF_SECONDS = (4.0, 8.0)
# How long endpoints limit their rate, and to how many requests a second.
_LIMIT_SECONDS = (6.0, 12.0)
_RATE_LIMITS = (0.4, 1, 3)


def _choose_entry(site: Site, randomness: random.Random) -> EntryProcess:
    return randomness.choice(site.entries)


def _mark_faulty(entry: EntryProcess) -> None:
    # No end is known until ``_mark_recovered``.
    entry.fault_until = float('inf')


def _mark_recovered(entry: EntryProcess) -> None:
    entry.fault_until = time.monotonic()


async def kill(site: Site, randomness: random.Random) -> None:
    """Kill one or two entries at the same time, and restart them."""
    killed = randomness.sample(site.entries, randomness.randint(1, 2))
    for entry in killed:
        _mark_faulty(entry)
        entry.crash()
    await trio.sleep(randomness.uniform(*_RESTART_DELAY_SECONDS))
    for entry in killed:
        entry.start()
    await trio.sleep(1)
    for entry in killed:
        _mark_recovered(entry)


async def stop_and_restart(
    entry: EntryProcess, randomness: random.Random
) -> None:
    """Send SIGTERM, then random signals, and restart once it has exited.

    A process that has not exited after the time for it is killed.
    """
    stopped = entry.popen
    _mark_faulty(entry)
    entry.stops.setdefault(stopped.pid, time.monotonic())
    entry.signal(signal.SIGTERM)
    with trio.move_on_after(STOP_GRACE_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_signal_stopping, entry, stopped, randomness)
            await trio.to_thread.run_sync(stopped.wait, abandon_on_cancel=True)
            nursery.cancel_scope.cancel()
    if entry.popen is stopped:
        entry.end()
        entry.start()
    await trio.sleep(1)
    _mark_recovered(entry)


async def _signal_stopping(
    entry: EntryProcess,
    stopped: subprocess.Popen[bytes],
    randomness: random.Random,
) -> None:
    for number in randomness.choice(_SIGNALS_WHILE_STOPPING):
        await trio.sleep(randomness.uniform(*_PAUSE_SECONDS))
        if entry.popen is stopped:
            entry.signal(number)


async def roll(site: Site, randomness: random.Random) -> None:
    """Stop an entry with SIGTERM, and restart it after it has exited."""
    await stop_and_restart(_choose_entry(site, randomness), randomness)


async def roll_in_turn(site: Site, randomness: random.Random) -> None:
    """Stop and restart two entries in turn."""
    for entry in randomness.sample(site.entries, 2):
        await stop_and_restart(entry, randomness)


async def freeze(site: Site, randomness: random.Random) -> None:
    """Suspend an entry for a random time."""
    entry = _choose_entry(site, randomness)
    _mark_faulty(entry)
    since = time.monotonic()
    entry.signal(signal.SIGSTOP)
    await trio.sleep(randomness.uniform(0.3, 2.5))
    entry.signal(signal.SIGCONT)
    entry.breaks.append((since, time.monotonic()))
    _mark_recovered(entry)


async def reload_settings(site: Site, randomness: random.Random) -> None:
    """Send SIGHUP to all entries, on which they reload their settings."""
    for entry in site.entries:
        entry.signal(signal.SIGHUP)
        await trio.sleep(randomness.uniform(0, 0.1))


async def cut_store(site: Site, randomness: random.Random) -> None:
    """Break, silence or delay an entry's connections to the store.

    They may also be cut in one direction only.
    """
    entry = _choose_entry(site, randomness)
    _mark_faulty(entry)
    entry.relay.apply(
        randomness.choice(
            (
                RelayFaults(down=True),
                RelayFaults(cut_to_target=True),
                RelayFaults(cut_to_caller=True),
                RelayFaults(silent_connections=True),
                RelayFaults(delay_seconds=0.3),
            ),
        ),
    )
    await trio.sleep(randomness.uniform(0.5, 4))
    entry.relay.apply(RelayFaults())
    await trio.sleep(1)
    _mark_recovered(entry)


async def fail_store(site: Site, randomness: random.Random) -> None:
    """Make the store refuse all calls, and truncate its changelog."""
    for entry in site.entries:
        _mark_faulty(entry)
    site.store.failing_status = randomness.choice(_STORE_ERROR_STATUSES)
    await trio.sleep(randomness.uniform(0.5, 3))
    site.store.failing_status = None
    site.store.truncate_changelog()
    await trio.sleep(1)
    for entry in site.entries:
        _mark_recovered(entry)


async def return_store(site: Site, randomness: random.Random) -> None:
    """Let the store come back from a copy that is up to three seconds old."""
    copy = site.store.rows.take_copy()
    await trio.sleep(randomness.uniform(0.3, 3))
    for entry in site.entries:
        _mark_faulty(entry)
    await site.store.restore(copy, away_seconds=randomness.uniform(0.2, 1.5))
    site.write_rows_again()
    await trio.sleep(1)
    for entry in site.entries:
        _mark_recovered(entry)


async def crash_endpoint(site: Site, randomness: random.Random) -> None:
    """Crash an endpoint, and start another of its service."""
    name = randomness.choice(sorted(site.endpoints))
    service = site.endpoints[name].endpoint.service
    site.crash_endpoint(name)
    await trio.sleep(randomness.uniform(*_PAUSE_SECONDS))
    await site.add_endpoint(service)


async def replace_endpoint(site: Site, randomness: random.Random) -> None:
    """Start another endpoint of the same service, and drain the old one."""
    name = randomness.choice(sorted(site.endpoints))
    running = site.endpoints[name]
    running.endpoint.leaving = randomness.random() < 0.5
    await site.add_endpoint(running.endpoint.service)
    await site.retire_endpoint(name)


async def turn_away(site: Site, randomness: random.Random) -> None:
    """Make an endpoint refuse all requests, with a time to retry."""
    running = site.endpoints[randomness.choice(sorted(site.endpoints))]
    running.endpoint.busy_until = time.monotonic() + randomness.uniform(0.3, 2)


async def break_answers(site: Site, randomness: random.Random) -> None:
    """Make two endpoints abort the answers of their next one to three runs."""
    for name in randomness.sample(sorted(site.endpoints), 2):
        site.endpoints[name].endpoint.fail_next = randomness.randint(1, 3)
    await trio.sleep(randomness.uniform(*_PAUSE_SECONDS))


async def hang_endpoint(site: Site, randomness: random.Random) -> None:
    """Make an endpoint accept requests without answering them."""
    running = site.endpoints[randomness.choice(sorted(site.endpoints))]
    running.endpoint.hang = True
    since = time.monotonic()
    await trio.sleep(randomness.uniform(0.5, 2))
    running.endpoint.hang = False
    site.endpoint_breaks[running.endpoint.name].append(
        (since, time.monotonic())
    )


async def announce_leaving(site: Site, randomness: random.Random) -> None:
    """Let an endpoint say that it leaves before the list shows it."""
    name = randomness.choice(sorted(site.endpoints))
    endpoint = site.endpoints[name].endpoint
    endpoint.leaving = True
    await site.add_endpoint(endpoint.service)
    await trio.sleep(randomness.uniform(*_ANNOUNCEMENT_SECONDS))
    if name in site.endpoints:
        await site.retire_endpoint(name)


async def turn_away_longer(site: Site, randomness: random.Random) -> None:
    """Let two endpoints turn requests away, and name a time."""
    seconds = randomness.uniform(*_BACK_OFF_SECONDS)
    for name in randomness.sample(sorted(site.endpoints), 2):
        endpoint = site.endpoints[name].endpoint
        endpoint.busy_until = time.monotonic() + seconds
    await trio.sleep(seconds)


async def limit_endpoints(
    site: Site, randomness: random.Random, until: float
) -> None:
    """Let one to three endpoints after another name a rate limit for a time."""
    while time.monotonic() < until:
        await trio.sleep(randomness.uniform(*_PAUSE_SECONDS))
        seconds = randomness.uniform(*_LIMIT_SECONDS)
        names = randomness.sample(sorted(site.endpoints), 3)
        limited = [site.endpoints[name].endpoint for name in names]
        for endpoint in limited:
            endpoint.rate_limit = randomness.choice(_RATE_LIMITS)
            since = time.monotonic()
            site.journal.limits.append(
                RateLimit(
                    endpoint=endpoint.name,
                    rate=endpoint.rate_limit,
                    since=since,
                    until=since + seconds,
                )
            )
        await trio.sleep(seconds)
        for each in limited:
            each.rate_limit = None


async def pause_endpoints(
    site: Site, randomness: random.Random, until: float
) -> None:
    """Every few seconds, make one, two or all endpoints fall silent.

    They are sound, and go on after it.
    """
    while time.monotonic() < until:
        await trio.sleep(randomness.uniform(*_BETWEEN_SILENCES_SECONDS))
        names = sorted(site.endpoints)
        count = randomness.choice((1, 2, len(names)))
        for name in randomness.sample(names, count):
            seconds = randomness.uniform(*_SILENCE_SECONDS)
            site.endpoints[name].endpoint.fall_silent(seconds)


async def silence_endpoint(site: Site, randomness: random.Random) -> None:
    """Silence, cut or delay an endpoint's connections.

    Connections silenced while the fault lasts stay silent afterwards.
    """
    running = site.endpoints[randomness.choice(sorted(site.endpoints))]
    running.relay.apply(
        randomness.choice(
            (
                RelayFaults(silent_connections=True),
                RelayFaults(cut_to_caller=True),
                RelayFaults(delay_seconds=0.2),
            ),
        ),
    )
    since = time.monotonic()
    await trio.sleep(randomness.uniform(0.3, 1.5))
    running.relay.apply(RelayFaults())
    site.endpoint_breaks[running.endpoint.name].append(
        (since, time.monotonic())
    )


async def revoke(site: Site, randomness: random.Random) -> None:
    """Revoke an API key, unless only two are left."""
    if len(site.keys) > 2:
        site.revoke_key(randomness.choice(sorted(site.keys)))


async def change_configuration(site: Site, randomness: random.Random) -> None:
    """Write one to five other configurations in quick succession.

    Some of them only have a new version.
    """
    for _ in range(randomness.randint(1, 5)):
        if randomness.random() < 0.7:
            site.change_configuration(randomness)
        else:
            site.publish_configuration()
        await trio.sleep(randomness.uniform(0, 0.2))


async def change_beside_roll(site: Site, randomness: random.Random) -> None:
    """Change the configuration while an entry stops."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(roll, site, randomness)
        await trio.sleep(randomness.uniform(*_PAUSE_SECONDS))
        await change_configuration(site, randomness)
        await trio.sleep(randomness.uniform(*_PAUSE_SECONDS))
        await change_configuration(site, randomness)


FAULTS: tuple[Fault, ...] = (
    kill,
    roll,
    roll_in_turn,
    change_beside_roll,
    freeze,
    reload_settings,
    cut_store,
    fail_store,
    return_store,
    crash_endpoint,
    replace_endpoint,
    turn_away,
    break_answers,
    hang_endpoint,
    announce_leaving,
    turn_away_longer,
    silence_endpoint,
    revoke,
    change_configuration,
)


async def inject(
    site: Site, randomness: random.Random, until: float
) -> list[str]:
    """Start random faults until the monotonic clock reaches ``until``.

    Return the names of the faults after the last one has ended.
    """
    injected: list[str] = []
    pauses_seed = randomness.random()
    pauses = random.Random(pauses_seed)
    # Derived, so that earlier seeds inject the same faults as before.
    limits = random.Random(1 + pauses_seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pause_endpoints, site, pauses, until)
        nursery.start_soon(limit_endpoints, site, limits, until)
        while time.monotonic() < until:
            await trio.sleep(randomness.uniform(*_PAUSE_SECONDS))
            for fault in randomness.sample(
                FAULTS, randomness.choice((1, 1, 2))
            ):
                injected.append(fault.__name__)
                nursery.start_soon(fault, site, randomness)
    return injected
