"""Tests when the planner reads the engines' own reports."""

import trio
from expression import Ok

from forward_harness import make_endpoints
from limpetdrift.coordination.planning.engine_report_poller import (
    FAST_POLL_INTERVAL_SECONDS,
    FAST_POLLING_SECONDS,
    POLL_INTERVAL_SECONDS,
    EngineReportPoller,
    ReportPollerInputs,
)
from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.protocol.work import EngineReport
from limpetdrift.state.endpoint_view import EndpointView
from virtual_time import background_tasks, in_virtual_time

ENGINES = make_endpoints(3)
FIRST_REPORT_SECONDS = 0.1


class PollerHarness:
    """A poller, the engines that its entry plans for, and its reads."""

    def __init__(self) -> None:
        self.planned = ENGINES
        self.read_times: list[float] = []
        self.planner = Planner(
            inputs=PlannerInputs(
                name='e',
                view=EndpointView(clock=trio.current_time),
                find_cost_model=lambda service: None,
                clock=trio.current_time,
            ),
        )
        self.poller = EngineReportPoller(
            inputs=ReportPollerInputs(
                planner=self.planner,
                engines=lambda: {'s': self.planned},
                read=self._read,
                clock=trio.current_time,
            ),
        )

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.poller.run)

    async def _read(self, engine):
        self.read_times.append(trio.current_time())
        return Ok(EngineReport(active=8, queued=2, memory_tokens=90_000))


@in_virtual_time
async def test_new_planner_learns_at_once_what_engines_are_busy_with():
    """Replays the start after all entries were lost with their requests."""
    harness = PollerHarness()
    async with background_tasks(harness):
        await trio.sleep(FIRST_REPORT_SECONDS)
        usages = harness.planner.ledger('s').usages(ENGINES)
        assert {usage.streams for usage in usages} == {10}


@in_virtual_time
async def test_engines_are_polled_less_often_once_plans_are_complete():
    harness = PollerHarness()
    async with background_tasks(harness):
        await trio.sleep(FAST_POLLING_SECONDS)
        fast = len(harness.read_times) / len(ENGINES)
        assert fast <= FAST_POLLING_SECONDS / FAST_POLL_INTERVAL_SECONDS + 1
        harness.read_times.clear()
        await trio.sleep(2 * POLL_INTERVAL_SECONDS + 1)
        assert len(harness.read_times) <= 3 * len(ENGINES)


@in_virtual_time
async def test_entry_that_does_not_plan_reads_no_reports():
    harness = PollerHarness()
    harness.planned = ()
    async with background_tasks(harness):
        await trio.sleep(FAST_POLLING_SECONDS)
        assert not harness.read_times
