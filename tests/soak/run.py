"""Runs the soak test with one random seed after the other.

Callers send requests while faults are injected, and go on after the end of
the last fault until the site should have recovered. Then all records are
checked. Run it in the folder ``tests``, with ``src`` in ``PYTHONPATH``:

    python -m soak.run --first 1 --seeds 50

With ``--production COMMIT`` the entries start on that commit's build, and are
replaced by the present one as faults restart them. With ``--spoil`` rows of
another writer, reports of engines and bytes of callers are spoiled beside the
faults, as the fuzzer draws them. With ``--crowd`` callers outside of the limits
call beside them.
"""

import argparse
import random
import socket
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from functools import partial
from itertools import chain
from math import inf
from pathlib import Path

import msgspec
import trio

from fuzz.inputs import (
    SpoiledInput,
    draw_inputs,
    send_input,
    spoiled_reports,
)
from soak.builds import export_source
from soak.callers import Call, Caller
from soak.checks import ALWAYS, TIMED
from soak.crowds import play_crowds, watch_memory
from soak.faults import inject
from soak.seeds import FAILED_SEEDS
from soak.site import Site

READY_TIMEOUT_SECONDS = 20.0
# Time with requests but without faults; recovery is due in half of it.
SETTLE_SECONDS = 12.0
# With few engines a stream that loses its engine may find no other. Their
# number is multiplied for more callers, whom they could not serve.
_ENGINE_COUNTS = (1, 3, 6)
_CALLERS_PER_ENGINES = 8
# Sites that run side by side have different ranges of ports.
_FIRST_PORT = 21_000
_PORTS_PER_SITE = 10
_PORT_RANGES = 800
MAX_SPOILED_INPUTS = 150
_SPOILED_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, kw_only=True)
class SoakOptions:
    """The size of one run; ``seconds`` is the time in which faults start.

    The checks of times are left out unless ``is_timed``. ``production`` is the
    source folder of an earlier build, on which the entries start. If
    ``is_spoiled``, inputs of the fuzzer are sent beside the faults. If
    ``is_crowded``, crowds of callers outside of the limits come beside them.
    """

    seed: int
    entries: int = 5
    callers: int = 8
    seconds: float = 15.0
    is_timed: bool = True
    production: str = ''
    is_spoiled: bool = False
    is_crowded: bool = False


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """The counts of one run; ``violations`` is empty if all checks passed.

    ``calls_after_faults`` counts the requests sent after the time that the
    site has to recover, and ``served_after_faults`` those of them that were
    served. ``faults`` holds the names of the injected faults.
    """

    calls: int
    served: int
    served_after_faults: int
    calls_after_faults: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


async def soak(options: SoakOptions, folder: Path) -> Outcome:
    """Start a site, run one seed on it and stop the site."""
    randomness = random.Random(options.seed)
    with reserve_ports(options.seed) as port:
        async with trio.open_nursery() as nursery:
            site = Site(
                folder=folder,
                port=port,
                nursery=nursery,
                production=options.production,
            )
            try:
                engines = randomness.choice(_ENGINE_COUNTS)
                engines *= max(1, options.callers // _CALLERS_PER_ENGINES)
                await site.open(options.entries, engines=engines, desks=3)
                outcome = await _run_load(options, site, randomness)
            finally:
                site.close()
            nursery.cancel_scope.cancel()
    return outcome


@contextmanager
def reserve_ports(seed: int) -> Iterator[int]:
    """Yield the first port of a range that no other run uses.

    A socket on the last port of the range reserves it. Callers of two sites
    on the same ports would reach the entries of both.
    """
    for offset in range(_PORT_RANGES):
        number = (seed + offset) % _PORT_RANGES
        port = _FIRST_PORT + number * _PORTS_PER_SITE
        with socket.socket() as reservation:
            try:
                reservation.bind(('127.0.0.1', port + _PORTS_PER_SITE - 1))
            except OSError:
                continue
            yield port
            return
    raise RuntimeError('no range of ports is free')


async def _run_load(
    options: SoakOptions, site: Site, randomness: random.Random
) -> Outcome:
    callers = [
        Caller(site=site, number=number, seed=options.seed)
        for number in range(options.callers)
    ]
    spoiled = []
    if options.is_spoiled:
        # Takes a second, in which the stand-ins answer nothing.
        spoiled = draw_inputs(options.seed, MAX_SPOILED_INPUTS)
    await wait_ready(callers)
    until = time.monotonic() + options.seconds
    faults: list[str] = []
    over_memory: set[str] = set()
    # Unknown until the last fault has ended.
    ends_at = inf

    def find_end() -> float:
        return ends_at

    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(caller.run, find_end)
        nursery.start_soon(_spoil, site, spoiled, until)
        async with trio.open_nursery() as crowds:
            if options.is_crowded:
                crowds.start_soon(watch_memory, site, over_memory)
                nursery.start_soon(play_crowds, site, options.seed, until)
            faults.extend(await inject(site, randomness, until))
            crowds.cancel_scope.cancel()
        ends_at = time.monotonic() + SETTLE_SECONDS
    for caller in callers:
        caller.close()
    # Lets reservations expire that were not released with their requests.
    await trio.sleep(4)
    calls = list(chain.from_iterable(each.calls for each in callers))
    recovery_due = ends_at - SETTLE_SECONDS / 2
    outcome = _check_records(options, site, calls, recovery_due, faults)
    return replace(
        outcome, violations=(*outcome.violations, *sorted(over_memory))
    )


async def _spoil(site: Site, inputs: list[SpoiledInput], until: float) -> None:
    """Send inputs of the fuzzer until a time; their rows stay."""
    reports: list[bytes] = []
    with spoiled_reports(reports):
        for number, spoiled in enumerate(inputs):
            if time.monotonic() >= until:
                return
            await send_input(site, reports, number, spoiled)
            await trio.sleep(_SPOILED_INTERVAL_SECONDS)


async def wait_ready(callers: list[Caller]) -> None:
    """Send requests of the first caller until one has ended."""
    with trio.fail_after(READY_TIMEOUT_SECONDS):
        while not any(caller.calls for caller in callers):
            end = time.monotonic() + 0.5
            await callers[0].run(partial(float, end))


def _check_records(
    options: SoakOptions,
    site: Site,
    calls: list[Call],
    recovery_due: float,
    faults: list[str],
) -> Outcome:
    checks = (*ALWAYS, *TIMED) if options.is_timed else ALWAYS
    violations = [
        f'{check.__name__}: {violation}'
        for check in checks
        for violation in check(site, calls)
    ]
    calls_after = [
        call
        for call in calls
        if call.sent_at > recovery_due
        and not call.has_disconnected
        and call.account
    ]
    served = [call for call in calls if call.is_complete and call.status == 200]
    served_after = [call for call in calls_after if call in served]
    payload = msgspec.json.encode([asdict(call) for call in calls])
    site.folder.joinpath('calls.json').write_bytes(payload)
    if len(served_after) < 0.9 * len(calls_after):
        violations.append(
            f'recovery: {len(served_after)} of {len(calls_after)} served'
        )
    return Outcome(
        calls=len(calls),
        served=len(served),
        served_after_faults=len(served_after),
        calls_after_faults=len(calls_after),
        faults=tuple(faults),
        violations=tuple(violations),
    )


def run_seed(options: SoakOptions) -> Outcome:
    """Run one seed; keep its settings, logs and calls if a check fails."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{options.seed}-'))
    outcome = trio.run(soak, options, folder)
    if not outcome.violations:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
        return outcome
    sys.stdout.write(f'logs of seed {options.seed}: {folder}\n')
    return outcome


def main() -> None:
    """Run the seeds and print the counts and violations of each."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--entries', type=int, default=5)
    parser.add_argument('--callers', type=int, default=8)
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--failed', action='store_true')
    parser.add_argument('--production', default='')
    parser.add_argument('--spoil', action='store_true')
    parser.add_argument('--crowd', action='store_true')
    arguments = parser.parse_args()
    failed = 0
    production = ''
    if arguments.production:
        folder = Path(tempfile.mkdtemp(prefix='soak-build-'))
        production = export_source(arguments.production, folder / 'build')
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    for seed in FAILED_SEEDS if arguments.failed else seeds:
        outcome = run_seed(
            SoakOptions(
                seed=seed,
                entries=arguments.entries,
                callers=arguments.callers,
                seconds=arguments.seconds,
                production=production,
                is_spoiled=arguments.spoil,
                is_crowded=arguments.crowd,
            ),
        )
        failed += bool(outcome.violations)
        sys.stdout.write(
            f'seed {seed}: {outcome.served} of {outcome.calls} served, '
            f'{outcome.served_after_faults} of '
            f'{outcome.calls_after_faults} after the '
            f'faults ({len(outcome.faults)})\n',
        )
        for line in outcome.violations[:10]:
            sys.stdout.write(f'  BROKEN {line}\n')
        sys.stdout.flush()
    sys.exit(failed > 0)


if __name__ == '__main__':
    main()
