"""Measures how well a rate limit is kept and used, by the number of entries.

All entries run in one process and in virtual time, with real membership,
planners and permits, on the tests' in-memory network. Each of three endpoints
names one request a second, and callers send five times the sum. Printed are
the calls of the worst four seconds against the bound, the share of the limits
that callers got, the time that a granted call of a plain service took to be
sent, and the bytes between entries, beside those without limits. Run it with

    PYTHONPATH=src:tests python benchmarks/shared_limits.py 7 195
"""

import sys
from dataclasses import dataclass

import trio

from limit_site import (
    ENGINES_SERVICE,
    PLAIN_SERVICE,
    bound_of,
    open_limit_site,
)
from virtual_time import run_in_virtual_time

ENDPOINTS = 3
WARM_UP_SECONDS = 6
SECONDS = 14


@dataclass(frozen=True, kw_only=True)
class Figures:
    """The figures of one run; bytes are those of an entry in a second."""

    worst_window: int
    use: float
    entry_bytes: float
    granted_seconds: float


def measure(entries: int, service: str, limit: float | None) -> Figures:
    """Run a site with one limit for all endpoints of a service."""
    figures = []

    async def run() -> None:
        async with open_limit_site(
            entries=entries, engines=ENDPOINTS, plain=ENDPOINTS
        ) as site:
            endpoints = site.of_service(service)
            for endpoint in endpoints:
                endpoint.limit = limit
            rate = 5 * ENDPOINTS
            await site.offer(service, rate=rate, seconds=WARM_UP_SECONDS)
            since = trio.current_time()
            sent = site.network.bytes
            await site.offer(service, rate=rate, seconds=SECONDS)
            for endpoint in endpoints:
                endpoint.count_all_as_told()
            taken = sum(each.count_since(since) for each in endpoints)
            served = [
                each.seconds
                for each in site.outcomes
                if each.status == 200 and each.at >= since
            ]
            figures.append(
                Figures(
                    worst_window=max(
                        each.worst_window(since=5) for each in endpoints
                    ),
                    use=taken / (ENDPOINTS * SECONDS),
                    entry_bytes=(site.network.bytes - sent) / entries / SECONDS,
                    granted_seconds=sum(served) / max(1, len(served)),
                )
            )

    run_in_virtual_time(run)
    return figures[0]


def main() -> None:
    """Print a row for each size and service."""
    print('entries service worst bound use bytes/s bytes/s-without served-s')
    for entries in map(int, sys.argv[1:] or ('7', '195')):
        for service in (ENGINES_SERVICE, PLAIN_SERVICE):
            limited = measure(entries, service, 1)
            free = measure(entries, service, None)
            print(
                entries,
                'engines' if service == ENGINES_SERVICE else 'plain',
                limited.worst_window,
                bound_of(1),
                round(limited.use, 2),
                round(limited.entry_bytes),
                round(free.entry_bytes),
                f'{limited.granted_seconds:.4f}/{free.granted_seconds:.4f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
