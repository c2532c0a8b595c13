"""Reads the reports of the endpoints that this node is home of.

An endpoint that others on this node read already is left out.
"""

from collections.abc import Callable
from random import Random

import trio

from limpetdrift.coordination.home_assignment import endpoints_homed_at
from limpetdrift.coordination.membership import Membership
from limpetdrift.protocol.lifecycle_reports import LifecycleReport, ReadReport
from limpetdrift.protocol.node import Endpoint, Node

REPORT_SECONDS = 1.0
_JITTER_SHARE = 0.1


class ReportPoller:
    """When each endpoint was last heard of, and the task that asks."""

    def __init__(
        self,
        *,
        membership: Membership,
        random: Random,
        endpoints: Callable[[], tuple[Endpoint, ...]],
        read_report: ReadReport,
        use: Callable[[str, LifecycleReport], None],
    ) -> None:
        self._membership = membership
        self._random = random
        self._endpoints = endpoints
        self._read_report = read_report
        self._use = use
        self._heard_at: dict[str, float] = {}
        self._homed: list[Endpoint] = []
        self._homed_from: tuple[tuple[Endpoint, ...], tuple[Node, ...]] = (
            (),
            (),
        )

    def note_heard(self, name: str) -> None:
        """Note that another part has read the endpoint's report."""
        self._heard_at[name] = trio.current_time()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for endpoint in self._unheard():
                    nursery.start_soon(self._read, endpoint)
            share = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            await trio.sleep(REPORT_SECONDS * share)

    def _unheard(self) -> list[Endpoint]:
        heard_since = trio.current_time() - REPORT_SECONDS
        self._heard_at = {
            name: at for name, at in self._heard_at.items() if at > heard_since
        }
        self._update_homed()
        return [
            endpoint
            for endpoint in self._homed
            if endpoint.name not in self._heard_at
        ]

    def _update_homed(self) -> None:
        """Weigh the homes anew, where entries or endpoints have changed."""
        seen = (self._endpoints(), self._membership.live_entries())
        if seen != self._homed_from:
            self._homed_from = seen
            self._homed = endpoints_homed_at(self._membership.node, *seen)

    async def _read(self, endpoint: Endpoint) -> None:
        answer = await self._read_report(endpoint)
        if answer.is_ok():
            self._use(endpoint.name, answer.ok)
