"""The model engines keep their law, and replays say what they played."""

from dataclasses import replace
from pathlib import Path

import pytest
import trio

from forward_harness import make_endpoints
from limpetdrift.coordination.engine_cost_model import (
    decode_step_seconds,
    prefill_seconds,
)
from limpetdrift.programs.exits import BAD_SETTINGS_EXIT
from limpetdrift.programs.replay import Arguments, choose
from limpetdrift.protocol.verdict import FailureError, Reason
from limpetdrift.replays.admission_queue import Job
from limpetdrift.replays.arrivals import draw_arrivals
from limpetdrift.replays.engines import Engine
from limpetdrift.replays.figures import compute_figures
from limpetdrift.replays.policies import POLICIES
from limpetdrift.replays.report import format_report
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import list_runs, simulate_run
from limpetdrift.replays.workload import Workload, read_load
from virtual_time import background_tasks, run_in_virtual_time

EXPERIMENTS = Path(__file__).parent.parent / 'experiments'
LOAD_FILE = str(EXPERIMENTS / 'replay-simu-kona.yaml')
LONG_TOKENS = 154_000
SHORT_SECONDS = 4.0


def load_of_site() -> Workload:
    return read_load(LOAD_FILE).ok


def short_load(**changes: object) -> Workload:
    return replace(
        load_of_site(),
        duration_seconds=SHORT_SECONDS,
        seeds=(1,),
        **changes,
    )


LAW = load_of_site().engines.law


class EngineWorld:
    """Engines that run in virtual time."""

    def __init__(self, count: int) -> None:
        self.engines = tuple(
            Engine(endpoint=endpoint, law=LAW)
            for endpoint in make_endpoints(count)
        )

    def start(self, nursery: trio.Nursery) -> None:
        for engine in self.engines:
            nursery.start_soon(engine.run)


async def event_times(engine: Engine, job: Job, helpers=()) -> list[float]:
    times = []
    async with engine.open(job, helpers) as answer:
        async for _ in answer.chunks():
            times.append(trio.current_time())
    return times


def in_world(count, body) -> None:
    async def play_body() -> None:
        world = EngineWorld(count)
        async with background_tasks(world):
            await body(*world.engines)

    run_in_virtual_time(play_body)


def test_idle_engine_reads_a_prompt_by_its_law():
    async def body(engine: Engine) -> None:
        times = await event_times(engine, Job(tokens=LONG_TOKENS, events=3))
        reading = prefill_seconds(LAW, LONG_TOKENS)
        passing = decode_step_seconds(LAW, 1, LONG_TOKENS)
        assert times[0] == pytest.approx(reading, abs=0.001)
        assert times[1] - times[0] == pytest.approx(passing, abs=0.001)

    in_world(1, body)


def test_parts_are_read_at_the_same_time():
    async def body(engine: Engine, *helpers: Engine) -> None:
        job = Job(tokens=LONG_TOKENS, events=1, parts=4)
        times = await event_times(engine, job, helpers)
        part = prefill_seconds(LAW, LONG_TOKENS, 4)
        assert times[0] == pytest.approx(part, abs=0.02)

    in_world(4, body)


def test_reading_holds_up_the_streams_of_its_engine():
    async def body(engine: Engine) -> None:
        async def read_long() -> None:
            await trio.sleep(0.2)
            await event_times(engine, Job(tokens=LONG_TOKENS, events=1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_long)
            times = await event_times(engine, Job(tokens=100, events=20))
        pauses = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        ]
        assert max(pauses) > 0.5

    in_world(1, body)


def test_jobs_over_the_slots_wait_for_a_place():
    async def body(engine: Engine) -> None:
        times: list[list[float]] = []

        async def run_one() -> None:
            job = Job(tokens=100, events=10)
            times.append(await event_times(engine, job))

        async with trio.open_nursery() as nursery:
            for _ in range(LAW.slots + 1):
                nursery.start_soon(run_one)
            await trio.sleep(0.01)
            assert engine.report().queued == 1
        firsts = sorted(each[0] for each in times)
        assert firsts[-1] >= min(each[-1] for each in times)

    in_world(1, body)


def test_crash_breaks_what_runs_and_refuses_what_comes():
    async def body(engine: Engine) -> None:
        async def crash_soon() -> None:
            await trio.sleep(0.2)
            engine.crash()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash_soon)
            with pytest.raises(FailureError) as broken:
                await event_times(engine, Job(tokens=100, events=100))
        assert broken.value.failure.reason is Reason.CONNECTION_BROKEN
        with pytest.raises(FailureError) as refused:
            await event_times(engine, Job(tokens=100, events=1))
        assert refused.value.failure.reason is Reason.CONNECT_FAILED
        assert engine.report().active == 0

    in_world(1, body)


def test_memory_set_aside_is_given_back():
    async def body(engine: Engine) -> None:
        await trio.lowlevel.checkpoint()
        places = engine.admission
        with (
            places.reserve_memory(LAW.memory_tokens),
            pytest.raises(FailureError),
        ):
            places.reserve_memory(1).__enter__()
        assert places.used_tokens == 0

    in_world(1, body)


def test_burst_adds_to_its_kind_only():
    load = load_of_site()
    usual = draw_arrivals(load, load.cases['quiet'], 1)
    burst = draw_arrivals(load, load.cases['short-burst'], 1)

    def count(arrivals, kind: str, first: float, last: float) -> int:
        return sum(
            each.kind == kind and first <= each.at < last for each in arrivals
        )

    expected = 2.5 * count(usual, 'fault-note', 8, 14)
    assert count(burst, 'fault-note', 8, 14) == pytest.approx(expected, rel=0.2)
    calm = count(burst, 'fault-note', 0, 8)
    assert calm == pytest.approx(count(usual, 'fault-note', 0, 8), rel=0.2)


@pytest.mark.parametrize('policy', POLICIES)
def test_each_policy_serves_a_calm_load(policy):
    load = short_load(policies=(policy,))
    turn = RunSpec(case='quiet', policy=policy, seed=1)
    run = simulate_run(load, turn)
    drawn = draw_arrivals(load, load.cases['quiet'], 1)
    assert len(run.outcomes) == len(drawn)
    figures = compute_figures(load, run)
    assert all(each.failed <= 0.05 for each in figures.kinds.values())


def test_run_goes_the_same_way_each_time():
    load = short_load()
    turn = RunSpec(case='third-gone', policy='planner', seed=1)
    assert simulate_run(load, turn) == simulate_run(load, turn)


def test_policies_take_turns_within_a_seed():
    turns = list_runs(load_of_site())
    first = [turn.policy for turn in turns[: len(POLICIES)]]
    assert first == list(load_of_site().policies)
    assert {turn.seed for turn in turns[: len(POLICIES)]} == {1}


def test_report_names_each_case_and_policy():
    load = short_load(policies=('planner', 'round-robin'))
    load = replace(load, cases={'quiet': load.cases['quiet']})
    runs = [
        compute_figures(load, simulate_run(load, turn))
        for turn in list_runs(load)
    ]
    report = format_report(load, runs)
    for row in ('| quiet | planner |', '| quiet | round-robin |'):
        assert report.count(row) == 5


def test_load_file_tells_all_that_is_wrong(tmp_path):
    text = Path(LOAD_FILE).read_text('utf-8')
    text = text.replace('kind: fault-note', 'kind: fault-nite')
    text = text.replace('[planner, reports', '[planer, reports')
    path = tmp_path / 'load.yaml'
    path.write_text(text, 'utf-8')
    complaints = read_load(str(path)).error
    found = {complaint.found for complaint in complaints}
    assert found == {'fault-nite', 'planer'}


def test_command_line_chooses_cases_and_policies():
    chosen = choose(
        Arguments(load=LOAD_FILE, case=['quiet'], policy=['alone']),
    )
    assert list(chosen.cases) == ['quiet']
    assert chosen.policies == ('alone',)


def test_command_line_names_what_is_unknown(capsys):
    with pytest.raises(SystemExit) as ended:
        choose(Arguments(load=LOAD_FILE, case=['quite']))
    assert ended.value.code == BAD_SETTINGS_EXIT
    assert 'quite' in capsys.readouterr().err
