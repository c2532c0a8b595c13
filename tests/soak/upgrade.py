"""Measures what callers lose while all entries are replaced in turn.

Each entry is stopped with SIGTERM and starts again on the present build, with
callers all the time. Run it in the folder ``tests``, with ``src`` in
``PYTHONPATH``, once with the build in production and once without, where the
present build replaces itself:

    python -m soak.upgrade --entries 7 --seeds 5 --production COMMIT
    python -m soak.upgrade --entries 7 --seeds 5
"""

import argparse
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from itertools import chain
from math import inf
from pathlib import Path
from statistics import mean, quantiles

import trio

from soak.builds import choose_present, export_source
from soak.callers import Call, Caller
from soak.faults import stop_and_restart
from soak.run import reserve_ports, wait_ready
from soak.site import Site

# Engines and callers for each entry, so that all sizes have the same load.
_ENGINES_PER_ENTRY = 1
_CALLERS_PER_ENTRY = 2
_DESKS = 3
# Load before the first entry is stopped, and after the last one has started.
_MARGIN_SECONDS = 3.0
_PERCENTILES = 100
_OK = 200


@dataclass(frozen=True, kw_only=True)
class Replacement:
    """The calls that were sent while all entries were replaced."""

    calls: tuple[Call, ...]
    seconds: float

    @property
    def served_share(self) -> float:
        """The share of the calls whose answers arrived whole."""
        return mean(
            call.is_complete and call.status == _OK for call in self.calls
        )

    @property
    def slowest_seconds(self) -> float:
        """The time within which 0.99 of the calls have ended."""
        times = [call.ended_at - call.sent_at for call in self.calls]
        return quantiles(times, n=_PERCENTILES)[-1]


async def replace_all(
    seed: int, entries: int, production: str, folder: Path
) -> Replacement:
    """Start a site on a build, and replace its entries by the present one."""
    with reserve_ports(seed) as port:
        async with trio.open_nursery() as nursery:
            site = Site(
                folder=folder,
                port=port,
                nursery=nursery,
                production=production,
            )
            try:
                await site.open(
                    entries, engines=entries * _ENGINES_PER_ENTRY, desks=_DESKS
                )
                return await _replace_under_load(site, seed)
            finally:
                site.close()
                nursery.cancel_scope.cancel()


async def _replace_under_load(site: Site, seed: int) -> Replacement:
    randomness = random.Random(seed)
    callers = [
        Caller(site=site, number=number, seed=seed)
        for number in range(len(site.entries) * _CALLERS_PER_ENTRY)
    ]
    await wait_ready(callers)
    ends_at = inf

    def find_end() -> float:
        return ends_at

    began_at = time.monotonic()
    async with trio.open_nursery() as load:
        for caller in callers:
            load.start_soon(caller.run, find_end)
        await trio.sleep(_MARGIN_SECONDS)
        for entry in site.entries:
            entry.choose_source = choose_present
            await stop_and_restart(entry, randomness)
        await trio.sleep(_MARGIN_SECONDS)
        ends_at = time.monotonic()
    for caller in callers:
        caller.close()
    calls = chain.from_iterable(each.calls for each in callers)
    return Replacement(
        calls=tuple(
            call
            for call in calls
            if call.account
            and not call.has_disconnected
            and call.sent_at >= began_at
        ),
        seconds=ends_at - began_at,
    )


def main() -> None:
    """Replace all entries once with each seed, and print what callers lost."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--entries', type=int, default=7)
    parser.add_argument('--production', default='')
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix='upgrade-'))
    production = ''
    if arguments.production:
        production = export_source(arguments.production, folder / 'build')
    shares = []
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        found = trio.run(
            replace_all, seed, arguments.entries, production, folder
        )
        shares.append(found.served_share)
        sys.stdout.write(
            f'seed {seed}: {found.served_share:.4f} of {len(found.calls)} '
            f'served in {found.seconds:.0f} s, 0.99 of them within '
            f'{found.slowest_seconds:.2f} s\n'
        )
        sys.stdout.flush()
    sys.stdout.write(f'mean {mean(shares):.4f}\n')


if __name__ == '__main__':
    main()
