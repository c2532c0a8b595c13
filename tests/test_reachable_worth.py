"""Tests of the accounting of worth that no system could have served."""

from dataclasses import replace
from pathlib import Path

import pytest

from limpetdrift.replays.callers import Ending, RequestOutcome
from limpetdrift.replays.reachable import divide_worth, is_reachable
from limpetdrift.replays.workload import Case, Span, read_workload

WORKLOAD = read_workload(
    str(Path(__file__).parent.parent / 'experiments' / 'replay-relay.yaml')
).ok
SHORT = 'defect-note'
OUTAGE = Span(at_seconds=9.0, for_seconds=1.7)
SERVED = RequestOutcome(
    kind=SHORT,
    account='large',
    tokens=5000,
    at=0.0,
    events=33,
    ending=Ending.SERVED,
    first_event_seconds=0.1,
)


def can_be_on_time(outage: Span = OUTAGE, **changes: object) -> bool:
    outcome = replace(SERVED, **changes)
    return is_reachable(
        outcome, WORKLOAD.kinds[outcome.kind], WORKLOAD.engines, (outage,)
    )


# A loss of all entries was counted as a fault of placement before.
@pytest.mark.parametrize(
    ('at', 'is_in_reach'),
    [
        (7.0, True),  # Ends before the loss.
        (8.5, False),  # Its stream is open at the loss.
        (9.5, False),  # Nobody takes it before its target has passed.
        (10.65, False),  # Its connection is tried again after a second.
        (10.7, True),  # The entries are back.
    ],
)
def test_short_answers_around_a_loss_of_all(at, is_in_reach):
    assert can_be_on_time(at=at) is is_in_reach


def test_long_prompt_with_a_target_beyond_the_loss_is_in_reach():
    kind = 'network-assess'
    assert can_be_on_time(kind=kind, tokens=154_000, at=8.0)
    assert not can_be_on_time(kind=kind, tokens=700_000, at=9.5)


def test_loss_shorter_than_an_allowed_pause_makes_nothing_late():
    brief = replace(OUTAGE, for_seconds=0.2)
    assert can_be_on_time(brief, at=8.5)


def test_lost_worth_is_divided_by_how_requests_ended():
    kind = WORKLOAD.kinds[SHORT]
    outcomes = (
        SERVED,
        replace(SERVED, first_event_seconds=5.0),
        replace(SERVED, ending=Ending.REFUSED),
        replace(SERVED, ending=Ending.DISCONNECTED, at=8.5),
    )
    shares = divide_worth(WORKLOAD, Case(outages=(OUTAGE,)), outcomes)
    possible = kind.worth * len(outcomes)
    late_loss = kind.worth - kind.late_worth
    assert shares.reachable == pytest.approx(1 - late_loss / possible)
    assert shares.late == pytest.approx(late_loss / possible)
    assert shares.refused == pytest.approx(kind.worth / possible)
    assert shares.failed == pytest.approx(kind.late_worth / possible)
