"""Replays loads of random sites, and compares two builds on them.

    python benchmarks/random_sites.py --out new.json
    PYTHONPATH=OTHER/src python benchmarks/random_sites.py --out old.json
    python benchmarks/random_sites.py --compare old.json new.json

The sites are drawn from a seed: sizes, speeds and memory of engines, kinds of
prompts, targets, bursts, and a loss of all entries or of some engines. So a
change that helps one deployment at the cost of others is seen.
"""

import argparse
import json
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

from absl import logging

from limpetdrift.replays.figures import compute_figures
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import simulate_run
from limpetdrift.replays.workload import (
    Burst,
    Case,
    Engines,
    Fault,
    FaultKind,
    Kind,
    Span,
    Workload,
)

SITES = 20
DURATION_SECONDS = 14.0
FALL_LIMIT = 0.01
_CASE = 'drawn'
_POLICY = 'planner'
# Share of the engines' time that the prompts take outside bursts.
_LOAD_SHARES = (0.25, 0.6)


def draw_workload(number: int) -> Workload:
    """Return the random site of this number with its load."""
    randomness = random.Random(f'site/{number}')
    engines = _draw_engines(randomness)
    kinds = _draw_kinds(randomness, engines)
    return Workload(
        name=f'site-{number}',
        duration_seconds=DURATION_SECONDS,
        entries=round(_draw_scaled(randomness, 3, 90)),
        peer_seconds=randomness.uniform(0.0005, 0.003),
        failure_domains=randomness.choice((1, 3, 3, 5)),
        engines=engines,
        kinds=kinds,
        accounts={'large': 5.0, 'middle': 3.0, 'small': 1.0},
        cases={_CASE: _draw_case(randomness, kinds)},
        seeds=(1,),
        policies=(_POLICY,),
    )


def _draw_scaled(randomness: random.Random, low: float, high: float) -> float:
    """Return a number whose logarithm is uniform."""
    return low * (high / low) ** randomness.random()


def _draw_engines(randomness: random.Random) -> Engines:
    return Engines(
        count=round(_draw_scaled(randomness, 4, 150)),
        slots=randomness.choice((4, 5, 6, 8, 12)),
        memory_tokens=round(randomness.uniform(200_000, 400_000)),
        step_seconds=randomness.uniform(0.0007, 0.0015),
        stream_seconds=0.00000425,
        context_seconds=0.00000285,
        read_per_second=randomness.uniform(100_000, 250_000),
        pairs_seconds=randomness.uniform(0.0001, 0.0003),
        chunk_tokens=2048,
        stride=randomness.choice((38, 51, 57, 80)),
    )


def _draw_kinds(randomness: random.Random, engines: Engines) -> dict[str, Kind]:
    model = engines.cost_model
    shares = (0.55, 0.2, 0.25)
    tokens = (5000, 45_000, round(randomness.uniform(120_000, 260_000)))
    targets = (0.32, 1.5, randomness.uniform(3, 8))
    load = randomness.uniform(*_LOAD_SHARES) * engines.count
    kinds = {}
    for name, share, prompt, target in zip(
        ('short', 'middle', 'long'), shares, tokens, targets, strict=True
    ):
        events = {'short': 33, 'middle': 20, 'long': 16}[name]
        seconds = (
            prompt / model.read_tokens_per_second
            + 0.5 * prompt * prompt * model.pair_seconds
            + events * model.stride * model.step_seconds / model.slots
        )
        kinds[name] = Kind(
            rate=load * share / seconds,
            prompt_tokens=prompt,
            most_tokens=prompt * 4,
            spread=0.6,
            events=events,
            target_seconds=target,
            pause_seconds={'short': 0.25, 'middle': 0.6, 'long': 1.0}[name],
            patience_seconds={'short': 2.0, 'middle': 6.0, 'long': 12.0}[name],
            deadline_seconds=15.0 if name == 'long' else 10.0,
            worth=prompt / 5000,
            late_worth=prompt / 20_000,
        )
    return kinds


def _draw_case(randomness: random.Random, kinds: dict[str, Kind]) -> Case:
    bursts = tuple(
        Burst(
            at_seconds=randomness.uniform(1, 4),
            for_seconds=randomness.uniform(3, 7),
            times=randomness.uniform(0.3, 2.2),
            kind=kind,
        )
        for kind in kinds
    )
    outages: tuple[Span, ...] = ()
    faults: tuple[Fault, ...] = ()
    if randomness.random() < 0.5:
        outages = (
            Span(
                at_seconds=randomness.uniform(4, 8),
                for_seconds=randomness.uniform(0.8, 2),
            ),
        )
    else:
        faults = (
            Fault(
                at_seconds=randomness.uniform(3, 7),
                for_seconds=randomness.uniform(2, 5),
                kind=randomness.choice((FaultKind.GONE, FaultKind.SLOW)),
                share=randomness.uniform(0.1, 0.3),
                times=3.0,
            ),
        )
    return Case(bursts=bursts, outages=outages, faults=faults)


def play(number: int) -> float:
    """Return the worth of a random site's load."""
    logging.set_verbosity(logging.ERROR)
    workload = draw_workload(number)
    spec = RunSpec(case=_CASE, policy=_POLICY, seed=number)
    return compute_figures(workload, simulate_run(workload, spec)).worth


def compare(old: Path, new: Path) -> int:
    """Print the differences; return 1 if a site fell or the mean did."""
    before = json.loads(old.read_text('utf-8'))
    after = json.loads(new.read_text('utf-8'))
    differences = []
    print('| site | before | after | difference |\n|---|---|---|---|')
    for site, worth in before.items():
        differences.append(after[site] - worth)
        print(
            f'| {site} | {worth:.3f} | {after[site]:.3f} '
            f'| {differences[-1]:+.3f} |'
        )
    print(f'mean {mean(differences):+.4f}, least {min(differences):+.4f}')
    return int(mean(differences) < 0 or min(differences) < -FALL_LIMIT)


def main() -> None:
    """Play all sites and write their worth, or compare two files."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--out', type=Path)
    parser.add_argument('--compare', type=Path, nargs=2)
    parser.add_argument('--jobs', type=int, default=2)
    arguments = parser.parse_args()
    if arguments.compare:
        sys.exit(compare(*arguments.compare))
    numbers = range(1, SITES + 1)
    with ProcessPoolExecutor(arguments.jobs) as pool:
        worths = dict(
            zip(map(str, numbers), pool.map(play, numbers), strict=True)
        )
    arguments.out.write_text(json.dumps(worths, indent=1) + '\n', 'utf-8')
    print(f'mean {mean(worths.values()):.4f}')


if __name__ == '__main__':
    main()
