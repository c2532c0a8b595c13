"""Runs the soak: ``python -m soak.run --first 1 --seeds 50`` in tests."""

import argparse
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from itertools import chain
from pathlib import Path

import trio

from soak.callers import Call, Caller
from soak.checks import ALWAYS, TIMED
from soak.faults import inject
from soak.seeds import FAILED
from soak.site import Site

READY_SECONDS = 20.0
SETTLE_SECONDS = 12.0
_FIRST_PORT = 21_000
_PORTS_OF_A_SITE = 10
_SITES = 800


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The size and length of one run."""

    seed: int
    entries: int = 5
    callers: int = 8
    seconds: float = 15.0
    is_timed: bool = True


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """What was seen; ``broken`` is empty where all promises held."""

    calls: int
    served: int
    served_after: int
    asked_after: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


async def soak(plan: Plan, folder: Path) -> Outcome:
    """Play one seed."""
    randomness = random.Random(plan.seed)
    port = _FIRST_PORT + plan.seed % _SITES * _PORTS_OF_A_SITE
    async with trio.open_nursery() as nursery:
        site = Site(folder=folder, port=port, nursery=nursery)
        try:
            await site.open(plan.entries, engines=6, desks=3)
            outcome = await _play(plan, site, randomness)
        finally:
            site.close()
        nursery.cancel_scope.cancel()
    return outcome


async def _play(plan: Plan, site: Site, randomness: random.Random) -> Outcome:
    callers = [
        Caller(site=site, number=number, seed=plan.seed)
        for number in range(plan.callers)
    ]
    await _wait_ready(callers)
    until = time.monotonic() + plan.seconds
    calm_at = until + SETTLE_SECONDS / 2
    end = until + SETTLE_SECONDS
    faults: list[str] = []

    async def trouble() -> None:
        faults.extend(await inject(site, randomness, until))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trouble)
        for caller in callers:
            nursery.start_soon(caller.run, end)
    # Reservations end with their requests, or expire a little later.
    await trio.sleep(4)
    calls = list(chain.from_iterable(each.calls for each in callers))
    return _judge(plan, site, calls, calm_at, faults)


async def _wait_ready(callers: list[Caller]) -> None:
    with trio.fail_after(READY_SECONDS):
        while not any(caller.calls for caller in callers):
            await callers[0].run(time.monotonic() + 0.5)


def _judge(
    plan: Plan,
    site: Site,
    calls: list[Call],
    calm_at: float,
    faults: list[str],
) -> Outcome:
    checks = (*ALWAYS, *TIMED) if plan.is_timed else ALWAYS
    broken = [
        f'{check.__name__}: {found}'
        for check in checks
        for found in check(site, calls)
    ]
    after = [
        call
        for call in calls
        if call.sent_at > calm_at and not call.has_left and call.account
    ]
    served = [call for call in calls if call.is_whole and call.status == 200]
    served_after = [call for call in after if call in served]
    if len(served_after) < 0.9 * len(after):
        broken.append(f'recovery: {len(served_after)} of {len(after)} served')
    return Outcome(
        calls=len(calls),
        served=len(served),
        served_after=len(served_after),
        asked_after=len(after),
        faults=tuple(faults),
        violations=tuple(broken),
    )


def play_seed(plan: Plan) -> Outcome:
    """Play one seed in a folder of its own; keep its logs if it fails."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{plan.seed}-'))
    outcome = trio.run(soak, plan, folder)
    if not outcome.violations:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
        return outcome
    sys.stdout.write(f'logs of seed {plan.seed}: {folder}\n')
    return outcome


def main() -> None:
    """Play seeds one after the other and tell how each went."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--entries', type=int, default=5)
    parser.add_argument('--callers', type=int, default=8)
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--failed', action='store_true')
    arguments = parser.parse_args()
    failed = 0
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    for seed in FAILED if arguments.failed else seeds:
        outcome = play_seed(
            Plan(
                seed=seed,
                entries=arguments.entries,
                callers=arguments.callers,
                seconds=arguments.seconds,
            ),
        )
        failed += bool(outcome.violations)
        sys.stdout.write(
            f'seed {seed}: {outcome.served} of {outcome.calls} served, '
            f'{outcome.served_after} of {outcome.asked_after} after the '
            f'faults ({len(outcome.faults)})\n',
        )
        for line in outcome.violations[:10]:
            sys.stdout.write(f'  BROKEN {line}\n')
        sys.stdout.flush()
    sys.exit(failed > 0)


if __name__ == '__main__':
    main()
