"""Faults in series that overlap, by a seed."""

import random
import signal
import time
from collections.abc import Awaitable, Callable

import trio

from limpet_standins.relay import RelayFaults
from soak.site import EntryProcess, Site

Fault = Callable[[Site, random.Random], Awaitable[None]]
_PAUSE = (0.2, 1.2)
_RESTART = (0.1, 0.8)
_STORE_STATUSES = (503, 429)


def _choose_entry(site: Site, randomness: random.Random) -> EntryProcess:
    return randomness.choice(site.entries)


def _trouble(entry: EntryProcess) -> None:
    # Until its faults are over, which ``_calm`` tells.
    entry.fault_until = float('inf')


def _calm(entry: EntryProcess) -> None:
    entry.fault_until = time.monotonic()


async def kill(site: Site, randomness: random.Random) -> None:
    """Kill some entries at once, and start them again."""
    killed = randomness.sample(site.entries, randomness.randint(1, 2))
    for entry in killed:
        _trouble(entry)
        entry.end()
    await trio.sleep(randomness.uniform(*_RESTART))
    for entry in killed:
        entry.start()
    await trio.sleep(1)
    for entry in killed:
        _calm(entry)


async def roll(site: Site, randomness: random.Random) -> None:
    """Stop an entry in order, and start it again when it has ended."""
    entry = _choose_entry(site, randomness)
    _trouble(entry)
    entry.signal(signal.SIGTERM)
    with trio.move_on_after(6):
        await trio.to_thread.run_sync(
            entry.popen.wait,
            abandon_on_cancel=True,
        )
    entry.end()
    entry.start()
    await trio.sleep(1)
    _calm(entry)


async def freeze(site: Site, randomness: random.Random) -> None:
    """Let an entry stand still for a while."""
    entry = _choose_entry(site, randomness)
    _trouble(entry)
    entry.signal(signal.SIGSTOP)
    await trio.sleep(randomness.uniform(0.3, 2.5))
    entry.signal(signal.SIGCONT)
    _calm(entry)


async def reload_settings(site: Site, randomness: random.Random) -> None:
    """Tell all entries that their settings may have changed."""
    for entry in site.entries:
        entry.signal(signal.SIGHUP)
        await trio.sleep(randomness.uniform(0, 0.1))


async def cut_store(site: Site, randomness: random.Random) -> None:
    """Cut an entry off from the store, one way or both, or silence it."""
    entry = _choose_entry(site, randomness)
    _trouble(entry)
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
    _calm(entry)


async def fail_store(site: Site, randomness: random.Random) -> None:
    """Let the store turn everybody away, and forget its history."""
    for entry in site.entries:
        _trouble(entry)
    site.store.failing_status = randomness.choice(_STORE_STATUSES)
    await trio.sleep(randomness.uniform(0.5, 3))
    site.store.failing_status = None
    site.store.truncate_changelog()
    await trio.sleep(1)
    for entry in site.entries:
        _calm(entry)


async def crash_endpoint(site: Site, randomness: random.Random) -> None:
    """Let an endpoint die, and another come."""
    name = randomness.choice(sorted(site.endpoints))
    service = site.endpoints[name].endpoint.service
    site.crash_endpoint(name)
    await trio.sleep(randomness.uniform(*_PAUSE))
    await site.add_endpoint(service)


async def replace_endpoint(site: Site, randomness: random.Random) -> None:
    """Replace an endpoint in order."""
    name = randomness.choice(sorted(site.endpoints))
    served = site.endpoints[name]
    await site.add_endpoint(served.endpoint.service)
    await site.retire_endpoint(name)


async def break_answers(site: Site, randomness: random.Random) -> None:
    """Let some endpoints break off answers to what they ran."""
    for name in randomness.sample(sorted(site.endpoints), 2):
        site.endpoints[name].endpoint.fail_next = randomness.randint(1, 3)
    await trio.sleep(randomness.uniform(*_PAUSE))


async def hang_endpoint(site: Site, randomness: random.Random) -> None:
    """Let an endpoint take requests and answer none."""
    served = site.endpoints[randomness.choice(sorted(site.endpoints))]
    served.endpoint.hang = True
    await trio.sleep(randomness.uniform(0.5, 2))
    served.endpoint.hang = False


async def silence_endpoint(site: Site, randomness: random.Random) -> None:
    """Silence an endpoint's open connections for good, or delay them."""
    served = site.endpoints[randomness.choice(sorted(site.endpoints))]
    served.relay.apply(
        randomness.choice(
            (
                RelayFaults(silent_connections=True),
                RelayFaults(cut_to_caller=True),
                RelayFaults(delay_seconds=0.2),
            ),
        ),
    )
    await trio.sleep(randomness.uniform(0.3, 1.5))
    served.relay.apply(RelayFaults())


async def revoke(site: Site, randomness: random.Random) -> None:
    """Take a key away."""
    if len(site.keys) > 2:
        site.revoke(randomness.choice(sorted(site.keys)))


async def change_configuration(site: Site, randomness: random.Random) -> None:
    """Write some configurations in quick succession."""
    for _ in range(randomness.randint(1, 5)):
        site.publish()
        await trio.sleep(randomness.uniform(0, 0.2))


FAULTS: tuple[Fault, ...] = (
    kill,
    roll,
    freeze,
    reload_settings,
    cut_store,
    fail_store,
    crash_endpoint,
    replace_endpoint,
    break_answers,
    hang_endpoint,
    silence_endpoint,
    revoke,
    change_configuration,
)


async def inject(
    site: Site, randomness: random.Random, until: float
) -> list[str]:
    """Inject faults that may overlap until a time; return their names."""
    injected: list[str] = []
    async with trio.open_nursery() as nursery:
        while time.monotonic() < until:
            await trio.sleep(randomness.uniform(*_PAUSE))
            fault = randomness.choice(FAULTS)
            injected.append(fault.__name__)
            nursery.start_soon(fault, site, randomness)
    return injected
