"""Switches off one decision under load at a time, and replays the worst loads.

    python benchmarks/load_ablation.py [--seeds 5] [--jobs 2]

Prints the difference in worth to the whole product, by case, as mean and
spread over paired seeds. A negative one is what the decision is worth there.
"""

import argparse
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from statistics import mean
from unittest.mock import patch

from absl import logging

from limpetdrift.replays.figures import compute_figures
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import simulate_run
from limpetdrift.replays.workload import read_workload

LOADS = {
    'experiments/replay-relay.yaml': (
        'short-burst',
        'long-wave',
        'restart-of-all',
        'restart-after-a-burst',
        'restart-in-a-wave',
    ),
    'experiments/replay-simu-kona.yaml': ('overload', 'one-account'),
}
_CORE = 'limpetdrift.coordination'
_SPLITTING = f'{_CORE}.engines.prompt_splitting'
_COSTS = f'{_CORE}.engines.split_costs'
_PLANNING = f'{_CORE}.planning'
_SCHEDULING = f'{_CORE}.scheduling'


def _returning(answer: object) -> Callable[..., object]:
    return lambda *arguments, **keywords: answer


# What replaces a decision, by its name and target.
SWITCHES: dict[str, dict[str, object]] = {
    'none': {},
    'waiting and confirmation': {
        f'{_PLANNING}.planner.may_wait': _returning(False)
    },
    'passing over waiting prompts': {
        f'{_SCHEDULING}.tentative_plans.find_passable': _returning(frozenset())
    },
    'late requests yield': {
        f'{_PLANNING}.plan_requests.must_yield': _returning(False)
    },
    'waits weighed by targets': {f'{_COSTS}._WAIT_WEIGHT': 0.3},
    'engines kept for short prompts': {
        f'{_SPLITTING}.blocking_cost': _returning(0)
    },
    'packing of short prompts': {f'{_COSTS}._OPENING_COST': 0.0},
    'pauses of streams': {f'{_COSTS}._pause_cost': _returning(0)},
    'wait for a slot': {f'{_SPLITTING}.queue_seconds': _returning(0)},
    'shares of accounts': {
        f'{_SCHEDULING}.admission.is_above_share': _returning(False)
    },
    'returning callers first': {
        f'{_SCHEDULING}.returns.ReturnSchedule.may_go_first': _returning(False)
    },
    'unplanned requests avoided': {f'{_COSTS}._unplanned_cost': _returning(0)},
    'late answers lose with time': {f'{_COSTS}._DELAY_LOSS': 0.0},
    'split over engines': {f'{_SPLITTING}.PART_COUNTS': (1,)},
}


def play(task: tuple[str, str, str, int]) -> float:
    """Return the worth of one run without one decision."""
    logging.set_verbosity(logging.ERROR)
    switch, path, case, seed = task
    workload = read_workload(path).ok
    patches = [patch(target, to) for target, to in SWITCHES[switch].items()]
    for each in patches:
        each.start()
    spec = RunSpec(case=case, policy='planner', seed=seed)
    worth = compute_figures(workload, simulate_run(workload, spec)).worth
    for each in patches:
        each.stop()
    return worth


def main() -> None:
    """Play all runs and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--jobs', type=int, default=2)
    arguments = parser.parse_args()
    cases = [(path, case) for path, names in LOADS.items() for case in names]
    seeds = range(1, arguments.seeds + 1)
    tasks = [
        (switch, path, case, seed)
        for switch, (path, case), seed in product(SWITCHES, cases, seeds)
    ]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        worths = dict(zip(tasks, pool.map(play, tasks), strict=True))
    print('| without |', ' | '.join(case for _, case in cases), '|')
    print('|---|', '---|' * len(cases), sep='')
    for switch in SWITCHES:
        cells = []
        for path, case in cases:
            whole = [worths['none', path, case, seed] for seed in seeds]
            found = [worths[switch, path, case, seed] for seed in seeds]
            if switch == 'none':
                cells.append(f'{mean(whole):.3f}')
                continue
            differences = [
                one - two for one, two in zip(found, whole, strict=True)
            ]
            cells.append(
                f'{mean(differences):+.3f} '
                f'({min(differences):+.3f} to {max(differences):+.3f})'
            )
        print(f'| {switch} |', ' | '.join(cells), '|')


if __name__ == '__main__':
    main()
