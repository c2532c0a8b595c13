"""Polls the reports of the endpoints that this node is home of.

An endpoint whose report another component of this node has just read is
skipped.
"""

from collections.abc import Callable
from random import Random

import trio

from limpetdrift.coordination.homes.home_assignment import endpoints_homed_at
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.protocol.lifecycle_reports import LifecycleReport, ReadReport
from limpetdrift.protocol.node import Endpoint, Node

REPORT_INTERVAL_SECONDS = 1.0
# Jitter, as a share of the report interval.
_JITTER_SHARE = 0.1


class ReportPoller:
    """Polls reports in ``run`` and passes each to ``on_report``."""

    def __init__(
        self,
        *,
        membership: Membership,
        randomness: Random,
        endpoints: Callable[[], tuple[Endpoint, ...]],
        read_report: ReadReport,
        on_report: Callable[[str, LifecycleReport], None],
    ) -> None:
        self._membership = membership
        self._randomness = randomness
        self._endpoints = endpoints
        self._read_report = read_report
        self._on_report = on_report
        self._read_at: dict[str, float] = {}
        self._homed: list[Endpoint] = []
        self._homed_inputs: tuple[tuple[Endpoint, ...], tuple[Node, ...]] = (
            (),
            (),
        )

    def record_report_read(self, name: str) -> None:
        """Record that another component has just read the endpoint's report."""
        self._read_at[name] = trio.current_time()

    async def run(self) -> None:
        """Poll all due endpoints in rounds until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for endpoint in self._due_endpoints():
                    nursery.start_soon(self._read, endpoint)
            factor = self._randomness.uniform(
                1 - _JITTER_SHARE, 1 + _JITTER_SHARE
            )
            await trio.sleep(REPORT_INTERVAL_SECONDS * factor)

    def _due_endpoints(self) -> list[Endpoint]:
        oldest_read_at = trio.current_time() - REPORT_INTERVAL_SECONDS
        self._read_at = {
            name: at
            for name, at in self._read_at.items()
            if at > oldest_read_at
        }
        self._refresh_homed()
        return [
            endpoint
            for endpoint in self._homed
            if endpoint.name not in self._read_at
        ]

    def _refresh_homed(self) -> None:
        """Recompute the homed endpoints if entries or endpoints changed."""
        inputs = (self._endpoints(), self._membership.live_entries())
        if inputs != self._homed_inputs:
            self._homed_inputs = inputs
            self._homed = endpoints_homed_at(self._membership.node, *inputs)

    async def _read(self, endpoint: Endpoint) -> None:
        report = await self._read_report(endpoint)
        if report.is_ok():
            self._on_report(endpoint.name, report.ok)
