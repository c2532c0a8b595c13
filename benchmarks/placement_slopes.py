r"""Measures the cost of a placement, by the number of entries and engines.

Placements are made one after the other, from each entry in turn, by the
product's homes and placers. The processor time of the homes' background tasks
is measured separately over an equal virtual time, and subtracted.

    PYTHONPATH=src:tests python benchmarks/placement_slopes.py
"""

import argparse
import random
import statistics
import time
from dataclasses import asdict, dataclass

import trio

from limpetdrift.coordination.homes.home_assignment import HomeTable
from limpetdrift.protocol.placement import AttemptOutcome
from placement_site import Site, make_request
from virtual_time import run_in_virtual_time

SIZES = ((9, 20), (30, 60), (90, 180), (330, 700))
PROMPT_BLOCKS = 250
BLOCK_TOKENS = 256
SETTLE_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class Cost:
    """The cost of a placement and its release at one size.

    ``table_ms`` is the processor time to compute the homes of all endpoints.
    """

    messages: float
    bytes: float
    processor_us: float
    table_ms: float


def make_blocks(randomness):
    """Draw the blocks of a prompt whose first half is one of 50 prefixes."""
    shared = random.Random(randomness.randrange(50))
    source = [shared] * (PROMPT_BLOCKS // 2) + [randomness] * (
        PROMPT_BLOCKS - PROMPT_BLOCKS // 2
    )
    return tuple(each.getrandbits(64) for each in source)


async def place_all(site, placements, randomness):
    """Place and release requests, one after the other."""
    for number in range(placements):
        placer = site.placers[number % len(site.placers)]
        request = make_request(
            number,
            prompt_tokens=PROMPT_BLOCKS * BLOCK_TOKENS,
            prefix_blocks=make_blocks(randomness),
        )
        placed = await placer.place(request)
        placer.release(placed.ok, AttemptOutcome.FINISHED)


def table_seconds(site):
    """Return the time to compute all homes, as after a change of a list."""
    started = time.process_time()
    HomeTable().refresh(site.live(), site.listed())
    return time.process_time() - started


def measure(entries, engines, placements):
    """Return the cost at one size."""
    site = Site(entries=entries, engines=engines)
    randomness = random.Random(1)
    costs = []

    async def body():
        async with trio.open_nursery() as nursery:
            site.start(nursery)
            # Each entry computes its table of homes before the measurement.
            await place_all(site, max(placements, entries), randomness)
            await trio.sleep(SETTLE_SECONDS)
            before = (site.network.messages, site.network.bytes)
            started_at = trio.current_time()
            started = time.process_time()
            await place_all(site, placements, randomness)
            total_time = time.process_time() - started
            virtual_duration = trio.current_time() - started_at
            after = (site.network.messages, site.network.bytes)
            started = time.process_time()
            await trio.sleep(virtual_duration)
            background_time = time.process_time() - started
            costs.append(
                Cost(
                    messages=(after[0] - before[0]) / placements,
                    bytes=(after[1] - before[1]) / placements,
                    processor_us=(total_time - background_time)
                    / placements
                    * 1e6,
                    table_ms=table_seconds(site) * 1000,
                ),
            )
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body)
    return costs[0]


def main():
    """Print a table of all sizes and linear fits over the number of entries."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--placements', type=int, default=500)
    options = parser.parse_args()
    print('| entries | engines | messages | bytes | processor us | table ms |')
    print('|---|---|---|---|---|---|')
    rows = []
    for entries, engines in SIZES:
        cost = asdict(measure(entries, engines, options.placements))
        rows.append(cost)
        cells = ' | '.join(f'{value:.1f}' for value in cost.values())
        print(f'| {entries} | {engines} | {cells} |', flush=True)
    for name in rows[0]:
        fit = statistics.linear_regression(
            [entries for entries, _ in SIZES],
            [row[name] for row in rows],
        )
        print(f'{name}: {fit.intercept:.1f} + {fit.slope:.4f} an entry')


if __name__ == '__main__':
    main()
