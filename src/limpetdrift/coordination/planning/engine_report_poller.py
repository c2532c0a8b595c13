"""Polls engines' own reports for load that is in no plan.

Such load exists after a start under traffic, and after entries vanish with
their connections open: engines continue requests whose caller is gone. Only
the entry that plans polls, with a short interval while its plans may be
incomplete and with a long one otherwise.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.coordination.membership.membership import Member
from limpetdrift.coordination.planning.planner import Planner
from limpetdrift.logs import note
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.work import EngineReport, ListedEndpoint
from limpetdrift.supervision import run_contained
from limpetdrift.verdict import Failure

# Time for which plans may be incomplete after a start or the death of an
# entry: most requests of callers that are gone reach their deadlines in it.
FAST_POLLING_SECONDS = 10.0
# Poll intervals while plans may be incomplete, and otherwise.
FAST_POLL_INTERVAL_SECONDS = 0.7
POLL_INTERVAL_SECONDS = 5.0
# Interval of the check whether reports are due, while this entry plans. It is
# shorter in the first second after the start: until its first reports a planner
# takes engines for idle that are busy with requests of entries that are gone.
_FIRST_CHECK_INTERVAL_SECONDS = 0.05
_FIRST_CHECKS_SECONDS = 1.0
_CHECK_INTERVAL_SECONDS = 0.2
# Interval of the check whether this entry plans, while it doesn't.
_IDLE_CHECK_INTERVAL_SECONDS = 0.5

ReadReport = Callable[
    [ListedEndpoint],
    Awaitable[Result[EngineReport, Failure]],
]


@dataclass(frozen=True, kw_only=True)
class ReportPollerInputs:
    """What a poller reads and updates.

    ``engines`` returns the engines of each service that this entry plans for,
    and ``read`` fetches an engine's report. ``clock`` returns seconds.
    """

    planner: Planner
    engines: Callable[[], dict[str, tuple[ListedEndpoint, ...]]]
    read: ReadReport
    clock: Callable[[], float]


class EngineReportPoller:
    """Polls engines and enters their reports in the planner's ledgers."""

    def __init__(self, *, inputs: ReportPollerInputs) -> None:
        self._inputs = inputs
        self._fast_until = inputs.clock() + FAST_POLLING_SECONDS
        self._polled_at = float('-inf')
        self._was_planner = False

    def poll_faster(self) -> None:
        """Use the short interval for the next ``FAST_POLLING_SECONDS``."""
        self._fast_until = self._inputs.clock() + FAST_POLLING_SECONDS

    def on_members_changed(self, changed: tuple[Member, ...]) -> None:
        """Poll faster after the death of an entry."""
        if any(member.state is MemberState.DEAD for member in changed):
            self.poll_faster()

    async def run(self) -> None:
        """Poll engines at the current interval until cancelled."""
        started_at = self._inputs.clock()
        while True:
            seconds_running = self._inputs.clock() - started_at
            await trio.sleep(self._check_interval(seconds_running))
            engines = self._inputs.engines()
            if self._is_due(is_planner=any(engines.values())):
                self._polled_at = self._inputs.clock()
                await self._poll_all(engines)

    def _check_interval(self, seconds_running: float) -> float:
        if seconds_running < _FIRST_CHECKS_SECONDS:
            return _FIRST_CHECK_INTERVAL_SECONDS
        if self._was_planner:
            return _CHECK_INTERVAL_SECONDS
        return _IDLE_CHECK_INTERVAL_SECONDS

    def _is_due(self, *, is_planner: bool) -> bool:
        if is_planner and not self._was_planner:
            self.poll_faster()
        self._was_planner = is_planner
        now = self._inputs.clock()
        is_fast = now < self._fast_until
        interval = (
            FAST_POLL_INTERVAL_SECONDS if is_fast else POLL_INTERVAL_SECONDS
        )
        return is_planner and now - self._polled_at >= interval

    async def _poll_all(
        self, engines_by_service: dict[str, tuple[ListedEndpoint, ...]]
    ) -> None:
        async with trio.open_nursery() as nursery:
            for service, engines in engines_by_service.items():
                for engine in engines:
                    nursery.start_soon(
                        run_contained,
                        'engine-poll',
                        self._poll_engine,
                        service,
                        engine,
                    )

    async def _poll_engine(self, service: str, engine: ListedEndpoint) -> None:
        report = await self._inputs.read(engine)
        if report.is_error():
            telemetry.count('reports_unread', reason=report.error.reason)
            return
        ledger = self._inputs.planner.ledger(service)
        unplanned = ledger.note_report(engine, report.ok)
        if unplanned:
            note(
                'engine busy with requests of no plan',
                endpoint=engine.name,
                requests=unplanned,
                queued=report.ok.queued,
                memory_tokens=report.ok.memory_tokens,
                pace=report.ok.pace,
            )
