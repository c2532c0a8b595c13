"""Tests that the load on engines is right whatever was computed before."""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from forward_harness import make_endpoints
from limpetdrift.state.engine_ledger import EngineLedger
from limpetdrift.state.engine_usage import Booking, PlanLease, StreamUse

ENGINES = make_endpoints(2)
NAMES = ('a', 'b', 'c', 'd')


@dataclass(frozen=True, kw_only=True)
class Step:
    """One change of a ledger, or time that passes."""

    action: str
    name: str
    seconds: float
    is_tentative: bool
    passed: frozenset[str]


STEPS = st.lists(
    st.builds(
        Step,
        action=st.sampled_from(('book', 'wait', 'end', 'withdraw', 'wait')),
        name=st.sampled_from(NAMES),
        seconds=st.sampled_from((0.0, 0.25, 1.0)),
        is_tentative=st.booleans(),
        passed=st.frozensets(st.sampled_from(NAMES)),
    ),
    max_size=25,
)


class LedgerHarness:
    """A ledger whose clock the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.ledger = EngineLedger(clock=lambda: self.now)

    def take(self, step: Step) -> None:
        if step.action == 'wait':
            self.now += step.seconds
        elif step.action == 'end':
            self.ledger.end(step.name)
        elif step.action == 'withdraw':
            self.ledger.withdraw(step.name)
        else:
            self._book(step)

    def _book(self, step: Step) -> None:
        lease = PlanLease(
            name=step.name,
            holder='e',
            seconds=4.0,
            is_tentative=step.is_tentative,
        )
        bookings = [
            Booking(
                endpoint=engine,
                read_seconds=0.5 + step.seconds,
                delay_seconds=step.seconds,
                memory_tokens=100,
                stream=StreamUse(pause_seconds=1 + step.seconds),
            )
            for engine in ENGINES[: 1 + step.is_tentative]
        ]
        self.ledger.book(lease, bookings, step.passed - {step.name})


@given(steps=STEPS)
def test_load_does_not_depend_on_what_was_computed_before(steps):
    """Guards against a load that is kept after what it is made of changed."""
    asked, unasked = LedgerHarness(), LedgerHarness()
    for step in steps:
        asked.take(step)
        unasked.take(step)
        asked.ledger.usages(ENGINES)
        asked.ledger.usages(ENGINES, step.passed)
    assert asked.ledger.usages(ENGINES) == unasked.ledger.usages(ENGINES)
    left_out = frozenset(NAMES[:2])
    assert asked.ledger.usages(ENGINES, left_out) == unasked.ledger.usages(
        ENGINES, left_out
    )
