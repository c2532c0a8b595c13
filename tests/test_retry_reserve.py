"""Tests that the entries of a site share one reserve of retries."""

import pytest

from limpetdrift.platform import forwarder_wiring
from limpetdrift.platform.planning_wiring import EntryContext
from limpetdrift.platform.settings import Bounds
from limpetdrift.protocol.node import Node
from test_planning_groups import make_entry

BOUNDS = Bounds(
    leaving_seconds=3.0,
    stop_seconds=8.0,
    apply_seconds=3.0,
    revoke_seconds=5.0,
    retry_share=0.2,
    retry_reserve=258.0,
    hold_seconds=20.0,
    answer_age_seconds=5.0,
)


class FakeMembership:
    """The hooks of a membership."""

    def __init__(self) -> None:
        self.on_change = []


class FakeSettings:
    """The settings that the budget depends on."""

    bounds = BOUNDS
    failure_domains = ('east', 'north', 'west')


def make_budget(entries: list[Node]):
    """Return the budget of an entry that then learns of all entries."""
    membership = FakeMembership()
    known = entries[:1]
    context = EntryContext(
        settings=FakeSettings(),
        node=entries[0],
        routes=None,
        view=None,
        links=None,
        membership=membership,
        store=None,
        entries=lambda: tuple(known),
        randomness=None,
    )
    budget = forwarder_wiring.build_retry_budget(context)
    known.extend(entries[1:])
    for hook in membership.on_change:
        hook(())
    return budget


@pytest.mark.parametrize('count', [1, 6, 9, 91, 195, 256])
def test_retries_of_all_entries_stay_within_the_reserve_of_the_site(count):
    entries = [make_entry(number) for number in range(count)]
    budgets = [make_budget(entries) for _ in range(count)]
    spent = sum(1 for budget in budgets for _ in range(1000) if budget.spend())
    assert spent <= BOUNDS.retry_reserve


def test_entry_keeps_a_retry_on_the_largest_sites():
    entries = [make_entry(number) for number in range(1000)]
    assert make_budget(entries).spend()


def test_fewer_entries_have_more_retries_each():
    entries = [make_entry(number) for number in range(91)]
    few, many = make_budget(entries[:6]), make_budget(entries)
    count = [sum(budget.spend() for _ in range(100)) for budget in (few, many)]
    assert count[1]
    assert count[0] > 5 * count[1]
