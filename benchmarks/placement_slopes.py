r"""Messages, bytes and processor time of a placement at growing sizes.

Placements go one after the other from the entries by turns over the product's homes
and placers; the time of the homes' own upkeep is measured apart over as long
a stretch of virtual time, and taken off.

    PYTHONPATH=src:tests python benchmarks/placement_slopes.py
"""

import argparse
import random
import statistics
import time
from dataclasses import asdict, dataclass

import trio

from limpetdrift.coordination.home_assignment import HomeTable
from limpetdrift.protocol.placement import AttemptOutcome
from placement_site import Site, make_request
from virtual_time import run_in_virtual_time

SIZES = ((9, 20), (30, 60), (90, 180), (330, 700))
BLOCKS = 250
BLOCK_TOKENS = 256
SETTLE_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class Cost:
    """What one placement and its release cost at one size."""

    messages: float
    bytes: float
    processor_us: float
    table_ms: float


def make_blocks(rng):
    """Draw the blocks of a prompt that shares half with one of 50 others."""
    shared = random.Random(rng.randrange(50))
    source = [shared] * (BLOCKS // 2) + [rng] * (BLOCKS - BLOCKS // 2)
    return tuple(each.getrandbits(64) for each in source)


async def place_all(site, placements, rng):
    """Place and give back, one after the other."""
    for number in range(placements):
        placer = site.placers[number % len(site.placers)]
        request = make_request(
            number,
            prompt_tokens=BLOCKS * BLOCK_TOKENS,
            prefix_blocks=make_blocks(rng),
        )
        placed = await placer.place(request)
        placer.release(placed.ok, AttemptOutcome.FINISHED)


def table_seconds(site):
    """Return the time to work out all homes anew after a list changed."""
    began = time.process_time()
    HomeTable().refresh(site.live(), site.listed())
    return time.process_time() - began


def measure(entries, engines, placements):
    """Return the cost at one size."""
    site = Site(entries=entries, engines=engines)
    rng = random.Random(1)
    costs = []

    async def body():
        async with trio.open_nursery() as nursery:
            site.start(nursery)
            # Every entry works its table of homes out before the clock runs.
            await place_all(site, max(placements, entries), rng)
            await trio.sleep(SETTLE_SECONDS)
            before = (site.network.messages, site.network.bytes)
            began_at = trio.current_time()
            began = time.process_time()
            await place_all(site, placements, rng)
            took = time.process_time() - began
            lasted = trio.current_time() - began_at
            after = (site.network.messages, site.network.bytes)
            began = time.process_time()
            await trio.sleep(lasted)
            upkeep = time.process_time() - began
            costs.append(
                Cost(
                    messages=(after[0] - before[0]) / placements,
                    bytes=(after[1] - before[1]) / placements,
                    processor_us=(took - upkeep) / placements * 1e6,
                    table_ms=table_seconds(site) * 1000,
                ),
            )
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body)
    return costs[0]


def main():
    """Measure each size and print a table with fits over the entries."""
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
