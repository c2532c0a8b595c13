"""Figures of a run: what callers were served, and what it took."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from limpetdrift.loads.grouping import group_by
from limpetdrift.replays.callers import Ending, RequestOutcome
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import Run
from limpetdrift.replays.workload import Workload

WINDOW_SECONDS = 3.0
# The longest prompts of a run that are looked at apart.
LONGEST_SHARE = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class KindFigures:
    """What came of one kind of request, as shares of those sent."""

    sent: int
    on_time: float
    late: float
    refused: float
    failed: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RunFigures:
    """The figures of one run; worth is a share of what could be had.

    ``longest_on_time`` is over the longest tenth of the prompts of the kind
    with the longest; ``least_account`` is the worth of the account that was
    served worst.
    """

    turn: RunSpec
    worth: float
    worst_window: float
    least_account: float
    longest_on_time: float
    kinds: dict[str, KindFigures]
    messages_a_second: float
    message_bytes_a_second: float
    reports_a_second: float


def compute_figures(load: Workload, run: Run) -> RunFigures:
    """Return the figures of one run."""
    outcomes = run.outcomes
    by_window = group_by(outcomes, lambda each: each.at // WINDOW_SECONDS)
    by_account = group_by(outcomes, lambda each: each.account)
    return RunFigures(
        turn=run.turn,
        worth=_worth(load, outcomes),
        worst_window=min(_worth(load, each) for each in by_window.values()),
        least_account=min(_worth(load, each) for each in by_account.values()),
        longest_on_time=_longest_on_time(load, outcomes),
        kinds={
            name: _kind_figures(load, name, outcomes) for name in load.kinds
        },
        messages_a_second=run.messages / load.duration_seconds,
        message_bytes_a_second=run.message_bytes / load.duration_seconds,
        reports_a_second=run.reports / load.duration_seconds,
    )


def _worth(load: Workload, outcomes: Iterable[RequestOutcome]) -> float:
    had, possible = 0.0, 0.0
    for outcome in outcomes:
        kind = load.kinds[outcome.kind]
        possible += kind.worth
        if outcome.is_on_time(kind):
            had += kind.worth
        elif outcome.ending is Ending.SERVED:
            had += kind.late_worth
    return had / possible if possible else 1.0


def _kind_figures(
    load: Workload,
    name: str,
    outcomes: Iterable[RequestOutcome],
) -> KindFigures:
    mine = [each for each in outcomes if each.kind == name]
    on_time = _share(mine, lambda each: each.is_on_time(load.kinds[name]))
    served = _share(mine, lambda each: each.ending is Ending.SERVED)
    refused = _share(mine, lambda each: each.ending is Ending.REFUSED)
    return KindFigures(
        sent=len(mine),
        on_time=on_time,
        late=served - on_time,
        refused=refused,
        failed=1 - served - refused if mine else 0,
    )


def _longest_on_time(
    load: Workload, outcomes: Iterable[RequestOutcome]
) -> float:
    most = max(load.kinds.values(), key=lambda kind: kind.prompt_tokens)
    mine = [each for each in outcomes if load.kinds[each.kind] is most]
    mine.sort(key=lambda each: -each.tokens)
    longest = mine[: max(1, round(len(mine) * LONGEST_SHARE))]
    return _share(longest, lambda each: each.is_on_time(most))


def _share(
    outcomes: list[RequestOutcome],
    holds: Callable[[RequestOutcome], bool],
) -> float:
    if not outcomes:
        return 1.0
    return sum(map(holds, outcomes)) / len(outcomes)
