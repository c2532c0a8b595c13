"""Divides the stewards' work into groups, each done under one lease.

Only the steward that holds the lease of a group does its work.
"""

import random
from collections.abc import Callable, Iterable

import trio
from absl import logging

from limpetdrift.state.claim_sweep import ClaimSweep
from limpetdrift.state.leases import STEP_SECONDS, Lease

ORDERS_GROUP = 'orders-0'
SWEEP_GROUP = 'claims-sweep'
# Pause between two pages of one sweep.
SWEEP_PAGE_INTERVAL_SECONDS = 2.0
# Pause between two sweeps of all claims.
SWEEP_INTERVAL_SECONDS = 60.0
# A page is swept only if the lease remains valid for at least this time.
MAX_PAGE_SECONDS = 10.0
# Range of the random factor of the renewal interval.
_JITTER = (0.8, 1.2)


async def keep_leases(
    leases: Iterable[Lease],
    randomness: random.Random,
) -> None:
    """Renew or watch all leases at once, so that their reads share a call."""
    while True:
        async with trio.open_nursery() as nursery:
            for lease in leases:
                nursery.start_soon(lease.step)
        await trio.sleep(STEP_SECONDS * randomness.uniform(*_JITTER))


async def release_leases(leases: Iterable[Lease]) -> None:
    """Release all leases, so that other stewards can take them at once."""
    async with trio.open_nursery() as nursery:
        for lease in leases:
            nursery.start_soon(lease.release)


async def sweep_under_lease(
    lease: Lease,
    sweep: ClaimSweep,
    epoch: Callable[[], int | None],
) -> None:
    """Delete old claims page by page while the lease is held."""
    while True:
        await _sweep_once(lease, sweep, epoch())
        pause_seconds = (
            SWEEP_INTERVAL_SECONDS
            if sweep.at_start
            else SWEEP_PAGE_INTERVAL_SECONDS
        )
        await trio.sleep(pause_seconds)


async def _sweep_once(
    lease: Lease,
    sweep: ClaimSweep,
    epoch: int | None,
) -> None:
    if epoch is None or lease.remaining_seconds < MAX_PAGE_SECONDS:
        return
    swept = await sweep.sweep_page(epoch)
    if swept.is_error():
        logging.warning('claim sweep failed: %s', swept.error.reason)
