"""Replays the worst loads of the relay deployment on simulated engines.

Each test compares the product with itself without the decision that answers
the load.
"""

from functools import cache
from pathlib import Path
from statistics import mean

from limpetdrift.coordination.engines import split_costs
from limpetdrift.coordination.planning import plan_requests
from limpetdrift.replays.figures import RunFigures, compute_figures
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import simulate_run
from limpetdrift.replays.workload import Workload, read_workload

LOAD_FILE = Path(__file__).parent.parent / 'experiments' / 'replay-relay.yaml'
SHORT = 'defect-note'
SHORT_ON_TIME_SHARE = 0.97
SEEDS = (1, 2)


@cache
def read_relay_workload() -> Workload:
    return read_workload(str(LOAD_FILE)).ok


def play(case: str, seed: int) -> RunFigures:
    workload = read_relay_workload()
    spec = RunSpec(case=case, policy='planner', seed=seed)
    return compute_figures(workload, simulate_run(workload, spec))


def mean_worth(case: str) -> float:
    return mean(play(case, seed).worth for seed in SEEDS)


def test_resumed_streams_leave_slots_to_others_after_a_loss(monkeypatch):
    """Guards against callers that return together and delay all new ones.

    All entries are lost within a burst of short prompts.
    """
    worth = mean_worth('restart-of-all')
    for name in ('must_yield', 'effective_priority'):
        monkeypatch.setattr(plan_requests, name, lambda work, now: 0)
    assert worth > mean_worth('restart-of-all')


def test_short_prompts_in_a_wave_wait_for_few_others(monkeypatch):
    """Guards against packing that makes short prompts late in one pass."""
    runs = [play('long-wave', seed) for seed in SEEDS]
    on_time = mean(run.kinds[SHORT].on_time for run in runs)
    assert on_time >= SHORT_ON_TIME_SHARE
    # Less than the cost of another engine for any wait up to the target.
    monkeypatch.setattr(split_costs, '_WAIT_WEIGHT', 0.1)
    packed = [play('long-wave', seed) for seed in SEEDS]
    assert on_time > mean(run.kinds[SHORT].on_time for run in packed)


def test_engines_that_read_prompts_of_lost_entries_are_avoided(monkeypatch):
    """Guards against prompts queued behind those of entries that are gone.

    All entries are lost in a wave of the longest prompts, and the engines go
    on with these.
    """
    worth = mean_worth('restart-in-a-wave')
    monkeypatch.setattr(
        split_costs, '_unplanned_cost', lambda usage, cost_model: 0
    )
    assert worth > mean_worth('restart-in-a-wave')


def test_late_prompts_lose_by_each_further_second(monkeypatch):
    """Guards against long prompts that block one engine as they are late.

    A burst of short prompts leaves few engines for the longest.
    """
    worth = mean_worth('short-burst')
    monkeypatch.setattr(split_costs, '_DELAY_LOSS', 0)
    assert worth > mean_worth('short-burst')
