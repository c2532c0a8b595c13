"""Tests of the load tool: arrivals, records, figures, report, validation."""

from dataclasses import replace

import pytest

from limpet_standins.experiment import open_site
from limpetdrift.loads import sampling
from limpetdrift.loads.arrivals import (
    arrival_rate,
    draw_arrivals,
    draw_case,
    ideal_hit_share,
    make_messages,
)
from limpetdrift.loads.experiment import (
    Fault,
    FaultKind,
    RunSpec,
    load_experiment,
)
from limpetdrift.loads.figures import (
    compute_figures,
    jain_index,
    summarize_times,
)
from limpetdrift.loads.output import records_path, save_runs
from limpetdrift.loads.records import (
    Record,
    RunRecord,
    append_run,
    read_runs,
)
from limpetdrift.loads.report import format_report
from limpetdrift.loads.running import run_experiment
from limpetdrift.programs import load as load_program
from limpetdrift.protocol.openai import prompt_text
from limpetdrift.protocol.prompts import count_tokens, prefix_blocks

EXPERIMENT = """
name: tiny
model: drift-small
sizes:
  {entries: 2, engines: 3, engine_processes: 2, prefill: 40k/s, step: 10ms,
   memory: 64k}
mix:
  duration: 1500ms
  lengths:
    - {tokens: 1k, weight: 3, shared: 0.75}
    - {tokens: 4k, weight: 1, shared: 0.75, urgency: urgent}
    - {tokens: 16k, weight: 1, long: true}
  long_every: 20
  max_tokens: [4, 8]
accounts: {desk: {weight: 3}, owners: {}}
loads: [0.2]
seeds: [1]
without_long: false
"""
CASE = RunSpec(policy='slack', load=0.5, seed=3)


@pytest.fixture
def experiment(tmp_path):
    path = tmp_path / 'tiny.yaml'
    path.write_text(EXPERIMENT, 'utf-8')
    return load_experiment(str(path)).ok


def complaints_after_edit(tmp_path, old, new):
    path = tmp_path / 'bad.yaml'
    path.write_text(EXPERIMENT.replace(old, new), 'utf-8')
    loaded = load_experiment(str(path))
    assert loaded.is_error()
    return {(each.key, each.line) for each in loaded.error}


def make_record(number, **changes):
    defaults = Record(
        case=CASE,
        number=number,
        account='desk',
        tokens=1024,
        long=False,
        at=0.1,
        ended=0.5,
        first_token=0.1 * number,
        whole=True,
        sends=1,
    )
    return replace(defaults, **changes)


def test_arrivals_are_poisson_and_depend_only_on_their_seed(experiment):
    long_run = replace(
        experiment,
        mix=replace(experiment.mix, duration_seconds=500.0),
    )
    drawn = draw_arrivals(long_run, 7, 20.0)
    assert drawn == draw_arrivals(long_run, 7, 20.0)
    assert drawn != draw_arrivals(long_run, 8, 20.0)
    times = [each.at for each in drawn]
    gaps = [late - early for early, late in zip(times, times[1:], strict=False)]
    mean = sum(gaps) / len(gaps)
    squares = sum((gap - mean) ** 2 for gap in gaps) / len(gaps)
    assert 0.045 < mean < 0.055
    assert 0.9 < squares**0.5 / mean < 1.1
    assert (
        0.7 < sum(each.account == 'desk' for each in drawn) / len(drawn) < 0.8
    )
    assert sum(each.length.long for each in drawn) == (len(drawn) + 9) // 20


def test_short_requests_are_the_same_without_long_ones(experiment):
    with_long = draw_case(experiment, CASE)
    without = draw_case(experiment, replace(CASE, with_long=False))
    assert without == tuple(each for each in with_long if not each.length.long)
    assert len(without) < len(with_long)


def test_arrival_rate_gives_the_load_without_cache_hits(experiment):
    long_run = replace(
        experiment,
        mix=replace(experiment.mix, duration_seconds=400.0),
    )
    drawn = draw_case(long_run, CASE)
    work = sum(each.length.tokens for each in drawn)
    work *= 1 - ideal_hit_share(long_run, drawn)
    assert 0.45 < work / 400.0 / (3 * 40_000) < 0.55
    doubled = arrival_rate(long_run, replace(CASE, load=1.0))
    assert 1.8 < doubled / arrival_rate(long_run, CASE) < 2.2


def test_prompts_have_their_length_and_their_group_prefix(experiment):
    drawn = [
        each
        for each in draw_arrivals(experiment, 1, 200.0)
        if each.group == 1 and each.length.tokens == 4096
    ]
    texts = [prompt_text(make_messages(each)) for each in drawn[:2]]
    assert [count_tokens(text) for text in texts] == [4096, 4096]
    first, second = map(prefix_blocks, texts)
    shared = sum(one == other for one, other in zip(first, second, strict=True))
    assert 11 <= shared <= 12


def test_figures_are_computed_from_records(experiment):
    records = (
        *(make_record(number) for number in range(1, 5)),
        make_record(5, first_token=4.0, tokens=16_384, long=True, ended=1.8),
        make_record(6, account='owners', whole=False),
        make_record(
            7,
            account='owners',
            whole=False,
            first_token=None,
            verdict='not-run',
            reason='overloaded',
            ended=0.25,
        ),
    )
    run = RunRecord(case=CASE, requests=records, samples=())
    figures = compute_figures(experiment, run)
    assert figures.short.count == 4
    assert figures.short.at[95] == pytest.approx(0.4, rel=0.01)
    assert figures.short.at[50] == pytest.approx(0.2, rel=0.01)
    assert figures.long.at[95] == pytest.approx(4.0, rel=0.01)
    assert figures.idle_short == pytest.approx(1024 / 40_000, rel=0.01)
    assert figures.goodput == pytest.approx(4 * 1024 / 1.5)
    assert figures.account_shares == {'desk': 1.0, 'owners': 0.0}
    assert figures.fairness == pytest.approx(0.5)
    assert figures.wrong == 1
    assert figures.reasons == {'overloaded (not-run)': 1}
    assert figures.refusals.at[95] == pytest.approx(0.25, rel=0.01)


def test_report_divides_short_p95_by_that_without_long_prompts(experiment):
    without = replace(CASE, with_long=False)
    pairs = ((CASE, 2.0), (without, 1.0))
    runs = [
        compute_figures(
            experiment,
            RunRecord(
                case=case,
                requests=(make_record(1, case=case, first_token=seconds),),
                samples=(),
            ),
        )
        for case, seconds in pairs
    ]
    report = format_report(experiment, runs)
    assert '| 0.50 | slack | 2 | 2.00 | 2.0' in report


def test_records_read_back_as_written(tmp_path):
    run = RunRecord(
        case=CASE, requests=(make_record(1), make_record(2)), samples=()
    )
    path = tmp_path / 'runs.jsonl'
    append_run(path, run)
    assert read_runs(path) == (run,)


def test_empty_times_have_count_zero_and_fairness_is_bounded():
    assert summarize_times(()).count == 0
    assert jain_index([]) == 1.0
    assert jain_index([1.0, 0.0, 0.0, 0.0]) == pytest.approx(0.25)


@pytest.mark.parametrize(
    ('old', 'new', 'key', 'line'),
    [
        ('step: 10ms', 'step: 10', 'sizes.step', 5),
        ('step: 10ms,', 'step: 10ms, stride: 1,', 'sizes.stride', 5),
        ('loads: [0.2]', 'loads: [-1]', 'loads[0]', 16),
        ('loads: [0.2]', 'loads: []', 'loads', 1),
        ('seeds: [1]', 'policies: [fastest]\nseeds: [1]', 'policies[0]', 17),
        (
            'seeds: [1]',
            'seeds: [1]\ntarget: {entries: [10.0.0.1:80]}',
            'target.entries[0]',
            18,
        ),
        (
            'seeds: [1]',
            'seeds: [1]\nfaults: [{at: 1s, kind: flood}]',
            'faults[0].kind',
            18,
        ),
        ('3, shared: 0.75', '3, shared: 1.5', 'mix.lengths[0].shared', 10),
        ('without_long: false', 'without_long: no', 'without_long', 18),
    ],
)
def test_invalid_file_is_reported_with_key_and_line(
    tmp_path, old, new, key, line
):
    assert complaints_after_edit(tmp_path, old, new) == {(key, line)}


def test_comparison_without_long_prompts_requires_long_prompts(tmp_path):
    text = EXPERIMENT.replace('long: true', 'long: false')
    path = tmp_path / 'bad.yaml'
    path.write_text(text.replace('without_long: false', ''), 'utf-8')
    complaints = load_experiment(str(path)).error
    assert [each.key for each in complaints] == ['without_long']


def test_small_experiment_runs_end_to_end(experiment, tmp_path):
    # In 1.5 s only one to three of 14 requests meet a cached prefix.
    mix = replace(experiment.mix, duration_seconds=4.0)
    experiment = replace(experiment, mix=mix)
    save_runs(tmp_path, experiment, run_experiment(experiment, open_site))
    runs = read_runs(records_path(tmp_path, experiment))
    assert len(runs) == 1
    run = runs[0]
    assert len(run.requests) == len(draw_case(experiment, run.case))
    assert all(each.whole for each in run.requests)
    assert sum(each.cached_tokens > 0 for each in run.requests) >= 3
    assert {each.account for each in run.requests} == {'desk', 'owners'}
    assert run.samples
    assert 'slack' in (tmp_path / 'tiny.md').read_text('utf-8')
    assert len(list(tmp_path.glob('*.png'))) == 3


def test_run_shorter_than_the_sample_interval_has_a_sample(
    experiment, monkeypatch
):
    monkeypatch.setattr(sampling, 'SAMPLE_INTERVAL_SECONDS', 60.0)
    runs = tuple(run_experiment(experiment, open_site))
    assert len(runs) == 1
    assert len(runs[0].samples) == 1


def test_answers_are_whole_if_an_engine_and_an_entry_are_killed(
    experiment, tmp_path
):
    faults = (
        Fault(kind=FaultKind.KILL_ENGINE, at_seconds=0.5),
        Fault(kind=FaultKind.KILL_ENTRY, at_seconds=0.7, number=2),
    )
    with_faults = replace(experiment, faults=faults)
    runs = tuple(run_experiment(with_faults, open_site))
    assert len(runs) == 1
    assert all(each.whole for each in runs[0].requests)
    memory = {each.memory_tokens for each in runs[0].samples}
    assert min(memory) == 2 * experiment.sizes.memory_tokens


def run_program(monkeypatch, *arguments):
    monkeypatch.setattr('sys.argv', ['limpet-load', *arguments])
    load_program.main()


def test_program_sends_the_load_to_a_running_site(
    experiment, tmp_path, monkeypatch
):
    path = tmp_path / 'run.yaml'
    with open_site(experiment, 'slack') as site:
        for name, key in site.keys.items():
            monkeypatch.setenv(f'KEY_{name}', key)
        keys = [
            f'{each}: {{key: {{environment: KEY_{each}}}}}'
            for each in site.keys
        ]
        accounts = ', '.join(keys)
        entries = ', '.join(map(str, site.entries))
        engines = ', '.join(map(str, site.engines))
        lines = EXPERIMENT.replace(
            'accounts: {desk: {weight: 3}, owners: {}}',
            f'accounts: {{{accounts}}}',
        )
        target = (
            f'target: {{entries: [{entries}], engines: [{engines}], '
            'checker: "limpet_standins.experiment:is_whole"}\n'
        )
        path.write_text(lines + target, 'utf-8')
        out = tmp_path / 'out'
        run_program(monkeypatch, str(path), '--out', str(out))
    report = out / 'tiny.md'
    first = report.read_text('utf-8')
    run_program(monkeypatch, str(path), '--out', str(out), '--report')
    assert report.read_text('utf-8') == first
    runs = read_runs(out / 'tiny.jsonl')
    assert all(each.whole for each in runs[0].requests)


def test_program_rejects_an_experiment_without_target(
    tmp_path, monkeypatch, capsys
):
    path = tmp_path / 'run.yaml'
    path.write_text(EXPERIMENT, 'utf-8')
    with pytest.raises(SystemExit) as stopped:
        run_program(monkeypatch, str(path))
    assert stopped.value.code == 2
    assert 'target' in capsys.readouterr().err
