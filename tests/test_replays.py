"""Tests of the simulated engines, and of replays and their reports."""

from dataclasses import replace
from pathlib import Path

import pytest
import trio

from forward_harness import make_endpoints
from limpetdrift.coordination.engines.engine_cost_model import (
    decode_step_seconds,
    prefill_seconds,
)
from limpetdrift.programs.exits import BAD_SETTINGS_EXIT
from limpetdrift.programs.replay import Arguments, choose
from limpetdrift.replays.admission_queue import Job
from limpetdrift.replays.arrivals import draw_arrivals
from limpetdrift.replays.engines import Engine
from limpetdrift.replays.figures import compute_figures
from limpetdrift.replays.policies import POLICIES
from limpetdrift.replays.report import format_report
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import list_runs, simulate_run
from limpetdrift.replays.workload import Workload, read_workload
from limpetdrift.verdict import FailureError, Reason
from virtual_time import background_tasks, run_in_virtual_time

EXPERIMENTS = Path(__file__).parent.parent / 'experiments'
LOAD_FILE = str(EXPERIMENTS / 'replay-simu-kona.yaml')
LONG_TOKENS = 154_000
SHORT_SECONDS = 4.0


def read_site_workload() -> Workload:
    return read_workload(LOAD_FILE).ok


def make_short_workload(**changes: object) -> Workload:
    return replace(
        read_site_workload(),
        duration_seconds=SHORT_SECONDS,
        seeds=(1,),
        **changes,
    )


COST_MODEL = read_site_workload().engines.cost_model


class EngineHarness:
    """Simulated engines that run in virtual time."""

    def __init__(self, count: int) -> None:
        self.engines = tuple(
            Engine(endpoint=endpoint, cost_model=COST_MODEL)
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


def run_with_engines(count, body) -> None:
    async def run_body() -> None:
        harness = EngineHarness(count)
        async with background_tasks(harness):
            await body(*harness.engines)

    run_in_virtual_time(run_body)


def test_idle_engine_takes_the_times_of_its_cost_model():
    async def body(engine: Engine) -> None:
        times = await event_times(engine, Job(tokens=LONG_TOKENS, events=3))
        prefill = prefill_seconds(COST_MODEL, LONG_TOKENS)
        decode_step = decode_step_seconds(COST_MODEL, 1, LONG_TOKENS)
        assert times[0] == pytest.approx(prefill, abs=0.001)
        assert times[1] - times[0] == pytest.approx(decode_step, abs=0.001)

    run_with_engines(1, body)


def test_parts_of_a_prompt_are_prefilled_in_parallel():
    async def body(engine: Engine, *helpers: Engine) -> None:
        job = Job(tokens=LONG_TOKENS, events=1, parts=4)
        times = await event_times(engine, job, helpers)
        part = prefill_seconds(COST_MODEL, LONG_TOKENS, 4)
        assert times[0] == pytest.approx(part, abs=0.02)

    run_with_engines(4, body)


def test_prefill_delays_the_streams_of_the_same_engine():
    async def body(engine: Engine) -> None:
        async def send_long() -> None:
            await trio.sleep(0.2)
            await event_times(engine, Job(tokens=LONG_TOKENS, events=1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_long)
            times = await event_times(engine, Job(tokens=100, events=20))
        pauses = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
        ]
        assert max(pauses) > 0.5

    run_with_engines(1, body)


def test_job_beyond_the_slots_waits_until_one_is_free():
    async def body(engine: Engine) -> None:
        times: list[list[float]] = []

        async def run_one() -> None:
            job = Job(tokens=100, events=10)
            times.append(await event_times(engine, job))

        async with trio.open_nursery() as nursery:
            for _ in range(COST_MODEL.slots + 1):
                nursery.start_soon(run_one)
            await trio.sleep(0.01)
            assert engine.report().queued == 1
        firsts = sorted(each[0] for each in times)
        assert firsts[-1] >= min(each[-1] for each in times)

    run_with_engines(1, body)


def test_crash_breaks_running_jobs_and_refuses_new_ones():
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

    run_with_engines(1, body)


def test_reserved_memory_is_refused_to_others_and_released():
    async def body(engine: Engine) -> None:
        await trio.lowlevel.checkpoint()
        admission = engine.admission
        with (
            admission.reserve_memory(COST_MODEL.memory_tokens),
            pytest.raises(FailureError),
        ):
            admission.reserve_memory(1).__enter__()
        assert admission.used_tokens == 0

    run_with_engines(1, body)


def test_burst_multiplies_the_rate_only_while_it_lasts():
    workload = read_site_workload()
    usual = draw_arrivals(workload, workload.cases['quiet'], 1)
    burst = draw_arrivals(workload, workload.cases['short-burst'], 1)

    def count(arrivals, kind: str, first: float, last: float) -> int:
        return sum(
            each.kind == kind and first <= each.at < last for each in arrivals
        )

    expected = 2.5 * count(usual, 'fault-note', 8, 14)
    assert count(burst, 'fault-note', 8, 14) == pytest.approx(expected, rel=0.2)
    before = count(burst, 'fault-note', 0, 8)
    assert before == pytest.approx(count(usual, 'fault-note', 0, 8), rel=0.2)


@pytest.mark.parametrize('policy', POLICIES)
def test_each_policy_fails_few_requests_of_a_quiet_load(policy):
    workload = make_short_workload(policies=(policy,))
    spec = RunSpec(case='quiet', policy=policy, seed=1)
    run = simulate_run(workload, spec)
    drawn = draw_arrivals(workload, workload.cases['quiet'], 1)
    assert len(run.outcomes) == len(drawn)
    figures = compute_figures(workload, run)
    assert all(each.failed <= 0.05 for each in figures.kinds.values())


def test_repeated_run_gives_the_same_result():
    workload = make_short_workload()
    spec = RunSpec(case='third-gone', policy='planner', seed=1)
    assert simulate_run(workload, spec) == simulate_run(workload, spec)


def test_runs_alternate_policies_within_a_seed():
    workload = read_site_workload()
    first = list_runs(workload)[: len(workload.policies)]
    assert [spec.policy for spec in first] == list(workload.policies)
    assert {spec.seed for spec in first} == {1}


def test_report_has_rows_for_each_case_and_policy():
    workload = make_short_workload(policies=('planner', 'round-robin'))
    workload = replace(workload, cases={'quiet': workload.cases['quiet']})
    runs = [
        compute_figures(workload, simulate_run(workload, spec))
        for spec in list_runs(workload)
    ]
    report = format_report(workload, runs)
    for row in ('| quiet | planner |', '| quiet | round-robin |'):
        # Served, worth, three kinds, and messages.
        assert report.count(row) == 6


def test_all_errors_of_a_load_file_are_reported(tmp_path):
    text = Path(LOAD_FILE).read_text('utf-8')
    text = text.replace('kind: fault-note', 'kind: fault-nite')
    text = text.replace('[planner, reports', '[planer, reports')
    path = tmp_path / 'load.yaml'
    path.write_text(text, 'utf-8')
    complaints = read_workload(str(path)).error
    found = {complaint.found for complaint in complaints}
    assert found == {'fault-nite', 'planer'}


def test_command_line_selects_cases_and_policies():
    chosen = choose(
        Arguments(load=LOAD_FILE, case=['quiet'], policy=['alone']),
    )
    assert list(chosen.cases) == ['quiet']
    assert chosen.policies == ('alone',)


def test_command_line_reports_an_unknown_case(capsys):
    with pytest.raises(SystemExit) as ended:
        choose(Arguments(load=LOAD_FILE, case=['quite']))
    assert ended.value.code == BAD_SETTINGS_EXIT
    assert 'quite' in capsys.readouterr().err
