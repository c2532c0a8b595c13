"""Work that stewards share: each group of it is done under one lease."""

import random
from collections.abc import Callable, Iterable

import trio
from absl import logging

from limpetdrift.state.claim_sweep import ClaimSweep
from limpetdrift.state.leases import STEP_SECONDS, Lease

ORDERS_GROUP = 'orders-0'
SWEEP_GROUP = 'claims-sweep'
SWEEP_PAGE_SECONDS = 2.0
SWEEP_REST_SECONDS = 60.0
LONGEST_SWEEP_SECONDS = 10.0
_JITTER = (0.8, 1.2)


async def keep_leases(
    leases: Iterable[Lease],
    randomness: random.Random,
) -> None:
    """Renew or watch all leases in step, so that their reads share a call."""
    while True:
        async with trio.open_nursery() as nursery:
            for lease in leases:
                nursery.start_soon(lease.step)
        await trio.sleep(STEP_SECONDS * randomness.uniform(*_JITTER))


async def release_leases(leases: Iterable[Lease]) -> None:
    """Give all leases back, so that other stewards take them at once."""
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
        rest = SWEEP_REST_SECONDS if sweep.at_start else SWEEP_PAGE_SECONDS
        await trio.sleep(rest)


async def _sweep_once(
    lease: Lease,
    sweep: ClaimSweep,
    epoch: int | None,
) -> None:
    if epoch is None or lease.remaining_seconds < LONGEST_SWEEP_SECONDS:
        return
    swept = await sweep.sweep_page(epoch)
    if swept.is_error():
        logging.warning('sweep failed: %s', swept.error.reason)
