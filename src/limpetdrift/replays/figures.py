"""Computes the figures of a run: answers served, and messages exchanged."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from limpetdrift.loads.grouping import group_by
from limpetdrift.replays.callers import Ending, RequestOutcome
from limpetdrift.replays.reachable import (
    WorthShares,
    achieved_worth,
    divide_worth,
)
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import Run
from limpetdrift.replays.workload import Workload

# Length of the windows of arrival times whose worth is compared.
WINDOW_SECONDS = 3.0
# The share of longest prompts for which ``longest_on_time`` is computed.
LONGEST_SHARE = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class KindFigures:
    """Results of one kind of request; all but ``sent`` are shares of it."""

    sent: int
    on_time: float
    late: float
    refused: float
    failed: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RunFigures:
    """The figures of one run. ``turn`` is its case, policy and seed.

    ``worth`` is the worth of the answers, as a share of the worth that all
    answers on time would have, and ``shares`` tells where the rest went.
    ``worst_window`` and ``least_account`` are
    the lowest worth of a time window and of an account.
    ``longest_on_time`` is the share on time of the longest tenth of the
    prompts, of the kind with the greatest mean length.
    """

    turn: RunSpec
    worth: float
    shares: WorthShares
    worst_window: float
    least_account: float
    longest_on_time: float
    kinds: dict[str, KindFigures]
    messages_a_second: float
    message_bytes_a_second: float
    reports_a_second: float


def compute_figures(workload: Workload, run: Run) -> RunFigures:
    """Return the figures of one run from its outcomes and counts."""
    outcomes = run.outcomes
    by_window = group_by(outcomes, lambda each: each.at // WINDOW_SECONDS)
    by_account = group_by(outcomes, lambda each: each.account)
    return RunFigures(
        turn=run.spec,
        worth=_worth(workload, outcomes),
        shares=divide_worth(workload, workload.cases[run.spec.case], outcomes),
        worst_window=min(_worth(workload, each) for each in by_window.values()),
        least_account=min(
            _worth(workload, each) for each in by_account.values()
        ),
        longest_on_time=_longest_on_time(workload, outcomes),
        kinds={
            name: _kind_figures(workload, name, outcomes)
            for name in workload.kinds
        },
        messages_a_second=run.messages / workload.duration_seconds,
        message_bytes_a_second=run.message_bytes / workload.duration_seconds,
        reports_a_second=run.reports / workload.duration_seconds,
    )


def _worth(workload: Workload, outcomes: Iterable[RequestOutcome]) -> float:
    achieved, possible = 0.0, 0.0
    for outcome in outcomes:
        kind = workload.kinds[outcome.kind]
        possible += kind.worth
        achieved += achieved_worth(outcome, kind)
    return achieved / possible if possible else 1.0


def _kind_figures(
    workload: Workload,
    name: str,
    outcomes: Iterable[RequestOutcome],
) -> KindFigures:
    matching = [each for each in outcomes if each.kind == name]
    on_time = _share(
        matching, lambda each: each.is_on_time(workload.kinds[name])
    )
    served = _share(matching, lambda each: each.ending is Ending.SERVED)
    refused = _share(matching, lambda each: each.ending is Ending.REFUSED)
    return KindFigures(
        sent=len(matching),
        on_time=on_time,
        late=served - on_time,
        refused=refused,
        failed=1 - served - refused if matching else 0,
    )


def _longest_on_time(
    workload: Workload, outcomes: Iterable[RequestOutcome]
) -> float:
    longest_kind = max(
        workload.kinds.values(), key=lambda kind: kind.prompt_tokens
    )
    matching = [
        each for each in outcomes if workload.kinds[each.kind] is longest_kind
    ]
    matching.sort(key=lambda each: -each.tokens)
    longest = matching[: max(1, round(len(matching) * LONGEST_SHARE))]
    return _share(longest, lambda each: each.is_on_time(longest_kind))


def _share(
    outcomes: list[RequestOutcome],
    predicate: Callable[[RequestOutcome], bool],
) -> float:
    if not outcomes:
        return 1.0
    return sum(map(predicate, outcomes)) / len(outcomes)
