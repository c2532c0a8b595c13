"""Formats the report of an experiment as Markdown tables over all seeds."""

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from limpetdrift.loads.experiment import Experiment
from limpetdrift.loads.figures import (
    PERCENTILES,
    TAIL_PERCENTILE,
    RunFigures,
    Times,
)
from limpetdrift.loads.grouping import group_by

_NONE = '-'
_KILO = 1000
_MILLISECONDS = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """The runs of one policy at one load, with all seeds."""

    load: float
    policy: str
    runs: tuple[RunFigures, ...]

    @property
    def with_long(self) -> list[RunFigures]:
        """The runs that include the long prompts."""
        return [each for each in self.runs if each.case.with_long]

    @property
    def slowdowns(self) -> list[float]:
        """Slowdowns of short prompts by long ones, one for each seed.

        A slowdown is the p95 time to first token of short prompts in the run
        with long prompts, divided by that in the run without.
        """
        without = {
            each.case.seed: _tail_seconds(each.short)
            for each in self.runs
            if not each.case.with_long
        }
        ratios = []
        for run in self.with_long:
            with_long, without_long = (
                _tail_seconds(run.short),
                without.get(run.case.seed),
            )
            if with_long is not None and without_long:
                ratios.append(with_long / without_long)
        return ratios


def group_runs(runs: Iterable[RunFigures]) -> list[Group]:
    """Group runs by load and policy; groups and runs keep their order."""
    grouped = group_by(runs, lambda run: (run.case.load, run.case.policy))
    return [
        Group(load=load, policy=policy, runs=tuple(members))
        for (load, policy), members in grouped.items()
    ]


def format_report(experiment: Experiment, runs: Sequence[RunFigures]) -> str:
    """Return the report in Markdown."""
    groups = group_runs(runs)
    parts = [_heading(experiment, runs)]
    parts += [_title(name) + table(groups) for name, table in _TABLES]
    return '\n'.join(parts)


def format_spread(numbers: Iterable[float | None], digits: int = 2) -> str:
    """Return the median, and for several numbers also minimum and maximum.

    >>> format_spread([1.0, 2.0, 4.0])
    '2.00 (1.00-4.00)'
    """
    present = [each for each in numbers if each is not None]
    if not present:
        return _NONE
    median, least, greatest = (
        format(each, f'.{digits}f')
        for each in (statistics.median(present), min(present), max(present))
    )
    if len(present) == 1:
        return median
    return f'{median} ({least}-{greatest})'


def _heading(experiment: Experiment, runs: Sequence[RunFigures]) -> str:
    sizes, mix = experiment.sizes, experiment.mix
    step = sizes.step_seconds * _MILLISECONDS
    facts = (
        f'{sizes.entries} entries',
        f'{sizes.engines} engines',
        f'prefill {sizes.prefill_tokens_per_second:.0f} tokens/s an engine',
        f'{sizes.chunk_tokens} prompt tokens and {step:.0f} ms a step',
        f'memory {sizes.memory_tokens} tokens an engine',
        f'arrivals for {mix.duration_seconds:.0f} s',
        f'the first {mix.warm_up_seconds:.0f} s left out',
    )
    listed = '; '.join(facts)
    idle = format_spread(run.idle_share for run in runs)
    seeds = sorted({run.case.seed for run in runs})
    return (
        f'# {experiment.name}\n\n{listed}. Seeds {seeds}. Idle share of the '
        f'processors: {idle}. Cells are the median over seeds, with the '
        'least and the greatest.\n'
    )


def _title(name: str) -> str:
    return f'\n## {name}\n\n'


def _policies(groups: list[Group]) -> str:
    headings = (
        'load',
        'policy',
        'runs',
        'slowdown of short',
        'short p95 s',
        'by idle engine',
        'long p95 s',
        'goodput k tokens/s',
        'fairness',
        'hits by one cache',
    )
    return make_table(headings, [_policy_row(each) for each in groups])


def _policy_row(group: Group) -> list[str]:
    runs = group.with_long
    return [
        *_names(group),
        str(len(group.runs)),
        format_spread(group.slowdowns),
        format_spread((_tail_seconds(run.short) for run in runs), 3),
        format_spread(_relative_to_idle(run) for run in runs),
        format_spread(_tail_seconds(run.long) for run in runs),
        format_spread((run.goodput / _KILO for run in runs), 1),
        format_spread((run.fairness for run in runs), 3),
        format_spread(run.hits for run in runs),
    ]


def _lengths(groups: list[Group]) -> str:
    percentiles = (f'p{share} s' for share in PERCENTILES)
    headings = ('load', 'policy', 'tokens', 'sent', 'whole', *percentiles)
    rows = []
    for group in groups:
        token_counts: set[int] = set()
        for figures in group.with_long:
            token_counts.update(figures.lengths)
        rows += [_length_row(group, tokens) for tokens in sorted(token_counts)]
    return make_table(headings, rows)


def _length_row(group: Group, tokens: int) -> list[str]:
    found = [
        run.lengths[tokens] for run in group.with_long if tokens in run.lengths
    ]
    return [
        *_names(group),
        str(tokens),
        str(sum(each.sent for each in found)),
        str(sum(each.whole for each in found)),
        *(
            format_spread((each.first_token.at.get(share) for each in found), 3)
            for share in PERCENTILES
        ),
    ]


def _failures(groups: list[Group]) -> str:
    headings = (
        'load',
        'policy',
        'wrong answers',
        'refused as not run',
        'refused after p95 s',
        'sent again',
        'resumed',
        'failures',
    )
    return make_table(headings, [_failure_row(each) for each in groups])


def _failure_row(group: Group) -> list[str]:
    runs = group.runs
    reasons: dict[str, int] = {}
    for figures in runs:
        for reason, count in figures.reasons.items():
            reasons[reason] = reasons.get(reason, 0) + count
    listed = ', '.join(f'{name}: {reasons[name]}' for name in sorted(reasons))
    return [
        *_names(group),
        str(sum(run.wrong for run in runs)),
        str(sum(run.refusals.count for run in runs)),
        format_spread(_tail_seconds(run.refusals) for run in runs),
        str(sum(run.resent for run in runs)),
        str(sum(run.resumed for run in runs)),
        listed or _NONE,
    ]


def _accounts(groups: list[Group]) -> str:
    rows = []
    for group in groups:
        grouped: dict[str, list[float]] = {}
        for figures in group.with_long:
            for name, share in figures.account_shares.items():
                grouped.setdefault(name, []).append(share)
        rows += [
            [*_names(group), account, format_spread(shares)]
            for account, shares in grouped.items()
        ]
    headings = ('load', 'policy', 'account', 'share answered whole')
    return make_table(headings, rows)


def _names(group: Group) -> list[str]:
    return [format(group.load, '.2f'), group.policy]


def _relative_to_idle(run: RunFigures) -> float | None:
    tail = _tail_seconds(run.short)
    return tail / run.idle_short if tail and run.idle_short else None


def _tail_seconds(times: Times) -> float | None:
    return times.at.get(TAIL_PERCENTILE)


def make_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    rule = ['---' for _ in headings]
    lines = [' | '.join(cells) for cells in (headings, rule, *rows)]
    return ''.join(f'| {line} |\n' for line in lines)


_TABLES: tuple[tuple[str, Callable[[list[Group]], str]], ...] = (
    ('Policies', _policies),
    ('Time to first token by length, long prompts sent', _lengths),
    ('Failures, with and without long prompts', _failures),
    ('Accounts, long prompts sent', _accounts),
)
