"""Formats the report of a replay as Markdown tables over all seeds."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from limpetdrift.loads.grouping import group_by
from limpetdrift.loads.report import format_spread, make_table
from limpetdrift.replays.figures import RunFigures
from limpetdrift.replays.workload import Workload

_KILO = 1000
_SHARE_DIGITS = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """The runs of one case with one policy, with all seeds."""

    case: str
    policy: str
    runs: tuple[RunFigures, ...]


def group_runs(runs: Iterable[RunFigures]) -> list[Group]:
    """Group runs by case and policy; groups and runs keep their order."""
    grouped = group_by(runs, lambda run: (run.turn.case, run.turn.policy))
    return [
        Group(case=case, policy=policy, runs=tuple(members))
        for (case, policy), members in grouped.items()
    ]


def format_report(workload: Workload, runs: Sequence[RunFigures]) -> str:
    """Return the report in Markdown."""
    groups = group_runs(runs)
    sizes = workload.engines
    seeds = ', '.join(map(str, workload.seeds))
    heading = (
        f'# {workload.name}\n\n{workload.entries} entries; '
        f'{sizes.count} engines with {sizes.slots} slots; '
        f'arrivals for {workload.duration_seconds:.0f} s of virtual time; '
        f'seeds {seeds}. Cells are the median over seeds, with '
        'the least and the greatest.\n'
    )
    served = f'\n## What callers were served\n\n{_served(groups)}'
    shares = f'\n## Where worth went\n\n{_worth_shares(groups)}'
    kinds = f'\n## By kind\n\n{_kinds(workload, groups)}'
    message_rates = f'\n## Message rates\n\n{_message_rates(groups)}'
    return heading + served + shares + kinds + message_rates


def _served(groups: Iterable[Group]) -> str:
    headings = (
        'case',
        'policy',
        'worth',
        'worst window',
        'least account',
        'longest prompts on time',
    )
    rows = [
        [
            group.case,
            group.policy,
            _shares(run.worth for run in group.runs),
            _shares(run.worst_window for run in group.runs),
            _shares(run.least_account for run in group.runs),
            _shares(run.longest_on_time for run in group.runs),
        ]
        for group in groups
    ]
    return make_table(headings, rows)


def _worth_shares(groups: Iterable[Group]) -> str:
    """Return the reachable worth, and its parts by how requests ended."""
    headings = (
        'case',
        'policy',
        'reachable worth',
        'served of it',
        'lost: late',
        'lost: refused',
        'lost: failed',
    )
    rows = [
        [
            group.case,
            group.policy,
            _shares(run.shares.reachable for run in group.runs),
            _shares(run.worth / run.shares.reachable for run in group.runs),
            _shares(run.shares.late for run in group.runs),
            _shares(run.shares.refused for run in group.runs),
            _shares(run.shares.failed for run in group.runs),
        ]
        for group in groups
    ]
    return make_table(headings, rows)


def _kinds(workload: Workload, groups: Iterable[Group]) -> str:
    headings = (
        'case',
        'policy',
        'kind',
        'sent',
        'on time',
        'late',
        'refused',
        'failed',
    )
    rows = [
        _kind_row(group, kind) for group in groups for kind in workload.kinds
    ]
    return make_table(headings, rows)


def _kind_row(group: Group, kind: str) -> list[str]:
    figures = [run.kinds[kind] for run in group.runs]
    return [
        group.case,
        group.policy,
        kind,
        str(sum(each.sent for each in figures)),
        _shares(each.on_time for each in figures),
        _shares(each.late for each in figures),
        _shares(each.refused for each in figures),
        _shares(each.failed for each in figures),
    ]


def _message_rates(groups: Iterable[Group]) -> str:
    headings = (
        'case',
        'policy',
        'messages a second',
        'kB a second',
        'reports a second',
    )
    rows = [
        [
            group.case,
            group.policy,
            format_spread((run.messages_a_second for run in group.runs), 1),
            format_spread(
                (run.message_bytes_a_second / _KILO for run in group.runs),
                1,
            ),
            format_spread((run.reports_a_second for run in group.runs), 1),
        ]
        for group in groups
    ]
    return make_table(headings, rows)


def _shares(numbers: Iterable[float]) -> str:
    return format_spread(numbers, _SHARE_DIGITS)
