"""Computes which worth of a load no system could have served, and why.

Answers a loss of all entries: an answer that is open when they are lost pauses
until they are back, and a request that arrives meanwhile begins after that.
What the engines could serve at most is not considered, so the reachable worth
is an upper bound.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from limpetdrift.coordination.engines.engine_cost_model import (
    decode_step_seconds,
    prefill_seconds,
)
from limpetdrift.coordination.engines.split_costs import (
    PART_COUNTS,
)
from limpetdrift.replays.callers import (
    CONNECT_TIMEOUT_SECONDS,
    Ending,
    RequestOutcome,
)
from limpetdrift.replays.workload import Case, Engines, Kind, Span, Workload


@dataclass(frozen=True, kw_only=True, slots=True)
class WorthShares:
    """Where the worth of a run went, in shares of all that was possible.

    ``reachable`` is what a system without limits could have served; the other
    shares are the worth lost from it, by how its requests ended.
    """

    reachable: float
    late: float
    refused: float
    failed: float


def divide_worth(
    workload: Workload, case: Case, outcomes: Iterable[RequestOutcome]
) -> WorthShares:
    """Return the reachable worth of a run, and what was lost from it.

    A request that could not be on time may still be served late.
    """
    possible, reachable = 0.0, 0.0
    lost = dict.fromkeys(Ending, 0.0)
    for outcome in outcomes:
        kind = workload.kinds[outcome.kind]
        possible += kind.worth
        highest = kind.worth
        if not is_reachable(outcome, kind, workload.engines, case.outages):
            highest = kind.late_worth
        reachable += highest
        lost[outcome.ending] += max(0, highest - achieved_worth(outcome, kind))
    possible = possible or 1.0
    return WorthShares(
        reachable=reachable / possible,
        late=lost[Ending.SERVED] / possible,
        refused=lost[Ending.REFUSED] / possible,
        failed=(lost[Ending.FAILED] + lost[Ending.DISCONNECTED]) / possible,
    )


def achieved_worth(outcome: RequestOutcome, kind: Kind) -> float:
    """Return the worth of an answer as it was served."""
    if outcome.is_on_time(kind):
        return kind.worth
    return kind.late_worth if outcome.ending is Ending.SERVED else 0


def is_reachable(
    outcome: RequestOutcome,
    kind: Kind,
    engines: Engines,
    outages: Iterable[Span],
) -> bool:
    """Return whether any system could have served a request on time."""
    return all(
        _is_reachable_despite(outage, outcome, kind, engines)
        for outage in outages
    )


def _is_reachable_despite(
    outage: Span, outcome: RequestOutcome, kind: Kind, engines: Engines
) -> bool:
    lost_at = outage.at_seconds
    back_at = lost_at + outage.for_seconds
    first_seconds = _least_first_event_seconds(outcome, engines)
    end_at = outcome.at + first_seconds
    end_at += (outcome.events - 1) * _least_pass_seconds(engines)
    if outcome.at >= back_at or end_at <= lost_at:
        return True
    if outage.for_seconds <= kind.pause_seconds:
        return True
    target_at = outcome.at + kind.target_seconds
    if outcome.at < lost_at:
        # Its engine may have gone on, and have the first event ready.
        return _next_connect_at(lost_at, back_at) <= target_at
    return _next_connect_at(outcome.at, back_at) + first_seconds <= target_at


def _next_connect_at(begun_at: float, back_at: float) -> float:
    """Return when a caller reaches an entry that is back at a time."""
    tries = math.ceil((back_at - begun_at) / CONNECT_TIMEOUT_SECONDS)
    return begun_at + tries * CONNECT_TIMEOUT_SECONDS


def _least_first_event_seconds(
    outcome: RequestOutcome, engines: Engines
) -> float:
    """Return the prefill time on idle engines, with the widest split."""
    parts = min(PART_COUNTS[-1], engines.count)
    return prefill_seconds(engines.cost_model, outcome.tokens, parts)


def _least_pass_seconds(engines: Engines) -> float:
    return decode_step_seconds(engines.cost_model, streams=1, context_tokens=0)
