"""Reads engines' own reports where plans can't tell what they are busy with.

Answers a start in the middle of a day, and entries that vanish with their
connections open: engines go on with requests whose caller is gone, and those
are in no plan. Only the entry that plans reads reports, often while it is
unsure and seldom else.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.coordination.membership import Member
from limpetdrift.coordination.planner import Planner
from limpetdrift.logs import note
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.verdict import Failure
from limpetdrift.protocol.work import EngineReport, ListedEndpoint

# Requests of callers that are gone end with their deadlines, most of them
# within this time.
UNSURE_SECONDS = 10.0
UNSURE_PERIOD_SECONDS = 0.7
PERIOD_SECONDS = 5.0
_STEP_SECONDS = 0.2

ReadReport = Callable[
    [ListedEndpoint],
    Awaitable[Result[EngineReport, Failure]],
]


@dataclass(frozen=True, kw_only=True)
class ReportPollerInputs:
    """What is watched; ``plans`` tells whether this entry plans now."""

    planner: Planner
    engines: Callable[[], dict[str, tuple[ListedEndpoint, ...]]]
    read: ReadReport
    plans: Callable[[], bool]
    clock: Callable[[], float]


class EngineReportPoller:
    """When reports are due; ``run`` reads them until cancelled."""

    def __init__(self, *, inputs: ReportPollerInputs) -> None:
        self._inputs = inputs
        self._unsure_until = inputs.clock() + UNSURE_SECONDS
        self._read_at = float('-inf')
        self._did_plan = False

    def poll_faster(self) -> None:
        """Read reports often for a while."""
        self._unsure_until = self._inputs.clock() + UNSURE_SECONDS

    def on_members_changed(self, changed: tuple[Member, ...]) -> None:
        """Doubt the plans when an entry dies."""
        if any(member.state is MemberState.DEAD for member in changed):
            self.poll_faster()

    async def run(self) -> None:
        """Read reports when they are due, until cancelled."""
        while True:
            await trio.sleep(_STEP_SECONDS)
            if self._is_due():
                self._read_at = self._inputs.clock()
                await self._read_all()

    def _is_due(self) -> bool:
        plans = self._inputs.plans()
        if plans and not self._did_plan:
            self.poll_faster()
        self._did_plan = plans
        now = self._inputs.clock()
        unsure = now < self._unsure_until
        period = UNSURE_PERIOD_SECONDS if unsure else PERIOD_SECONDS
        return plans and now - self._read_at >= period

    async def _read_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for service, engines in self._inputs.engines().items():
                for engine in engines:
                    nursery.start_soon(self._read, service, engine)

    async def _read(self, service: str, engine: ListedEndpoint) -> None:
        answer = await self._inputs.read(engine)
        if answer.is_error():
            telemetry.count('reports_unread', reason=answer.error.reason)
            return
        ledger = self._inputs.planner.ledger(service)
        unplanned = ledger.note_report(engine, answer.ok)
        if unplanned:
            note(
                'engine busy with requests of no plan',
                endpoint=engine.name,
                requests=unplanned,
                queued=answer.ok.queued,
                memory_tokens=answer.ok.memory_tokens,
                pace=answer.ok.pace,
            )
