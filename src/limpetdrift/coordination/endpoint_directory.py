"""The endpoints of this region, and which of them are leaving.

A few entries poll the instance list; gossip tells the others. A sign that an
endpoint is leaving, from whichever source, is stated as a record, pushed at
once, and holds until that endpoint has started anew.

>>> endpoints = Endpoints(membership=membership, ...)  # doctest: +SKIP
>>> nursery.start_soon(endpoints.run)  # doctest: +SKIP
>>> endpoints.note_leaving('engine-3', LeavingSource.REFUSAL)  # doctest: +SKIP
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum, unique
from random import Random

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.instance_list_poller import ListPoller
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.report_poller import ReportPoller
from limpetdrift.protocol.gossip import EndpointRecord, ListingState
from limpetdrift.protocol.instances import InstanceList, ReadList
from limpetdrift.protocol.lifecycle_reports import LifecycleReport, ReadReport
from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.endpoint_records import UNKNOWN_INCARNATION
from limpetdrift.state.listings import Listings, start_records
from limpetdrift.transport.messages import Address

FORGET_INTERVAL_SECONDS = 60.0
SIGNS_QUEUED = 100


@unique
class LeavingSource(StrEnum):
    """Who said that an endpoint is leaving, beside the list."""

    REPORT = 'report'
    REFUSAL = 'refusal'
    OPERATOR = 'operator'


_BareSign = tuple[Endpoint, LeavingSource]


@dataclass(frozen=True, kw_only=True)
class EndpointInputs:
    """Where news of endpoints comes from.

    ``static`` endpoints hold until the list has been read.
    """

    read_list: ReadList
    read_report: ReadReport
    static: tuple[Endpoint, ...] = ()


class EndpointDirectory:
    """The view of the endpoints, and the tasks that keep it."""

    def __init__(
        self,
        *,
        membership: Membership,
        inputs: EndpointInputs,
        random: Random,
    ) -> None:
        self._membership = membership
        self._table = membership.gossip.endpoints
        self._listings = Listings(table=self._table)
        self._view: tuple[Endpoint, ...] | None = None
        self._read_report = inputs.read_report
        self._bare_signs = trio.open_memory_channel[_BareSign](
            SIGNS_QUEUED,
        )
        self._poller = ListPoller(
            membership=membership,
            random=random,
            read_list=inputs.read_list,
            use=self._use_reading,
        )
        self._watch = ReportPoller(
            membership=membership,
            randomness=random,
            endpoints=self.endpoints,
            read_report=inputs.read_report,
            use=self.note_report,
        )
        # Whether the list was read just now, by this node or one it heard.
        self.list_reachable = self._poller.was_read_recently
        membership.on_endpoints.append(self._on_records)
        self._state(start_records(inputs.static), disseminate=False)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints that are not gone; each says if it leaves."""
        if self._view is None:
            self._view = tuple(
                replace(record.endpoint, leaving=_is_leaving(record))
                for record in self._table.records()
                if record.endpoint and record.listed is not ListingState.ABSENT
            )
        return self._view

    def is_leaving(self, name: str) -> bool:
        """Return whether the endpoint gets no new work, or isn't known."""
        record = self._table.find(name)
        return record is None or _is_leaving(record)

    def seeds(self) -> tuple[Address, ...]:
        """Return the peer addresses of entries, as the list gave them."""
        return self._poller.seeds

    def mark_leaving(
        self,
        name: str,
        source: LeavingSource,
        incarnation: int = UNKNOWN_INCARNATION,
    ) -> bool:
        """Hold the endpoint leaving for its present incarnation.

        Returns whether the endpoint is known. A sign of an earlier
        incarnation changes nothing.
        """
        held = self._table.find(name)
        if held is None:
            return False
        if incarnation == UNKNOWN_INCARNATION:
            self._ask_who_left(held, source)
        meant = incarnation or held.incarnation
        is_new = (meant, True) > (held.incarnation, held.leaving)
        if is_new:
            telemetry.count('endpoint_leaving_signs', source=source)
            self._state((replace(held, incarnation=meant, leaving=True),))
        return True

    def note_report(self, name: str, report: LifecycleReport) -> None:
        """Use what the endpoint told of itself."""
        self._watch.note_heard(name)
        held = self._table.find(name)
        if held is None:
            return
        if report.leaving:
            self.mark_leaving(name, LeavingSource.REPORT, report.incarnation)
        elif report.incarnation > held.incarnation:
            self._state(
                (
                    replace(
                        held,
                        incarnation=report.incarnation,
                        leaving=False,
                    ),
                ),
            )

    async def run(self) -> None:
        """Read the list and the endpoints' reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self._watch.run)
            nursery.start_soon(self._settle_signs)
            while True:
                await trio.sleep(FORGET_INTERVAL_SECONDS)
                self._listings.forget_absent(trio.current_time())

    def _ask_who_left(
        self,
        held: EndpointRecord,
        source: LeavingSource,
    ) -> None:
        """Find out which start of an endpoint a bare sign is about.

        The endpoint may have started anew without anybody here knowing yet,
        and the news of that start would lift a sign that is held for an
        earlier one.
        """
        if held.endpoint is None:
            return
        try:
            self._bare_signs[0].send_nowait((held.endpoint, source))
        except trio.WouldBlock:
            telemetry.count('endpoint_signs_not_settled')

    async def _settle_signs(self) -> None:
        async for endpoint, source in self._bare_signs[1]:
            report = await self._read_report(endpoint)
            if report.is_ok() and report.ok.incarnation:
                self.mark_leaving(
                    endpoint.name,
                    source,
                    report.ok.incarnation,
                )

    def _use_reading(
        self,
        reading: InstanceList,
        taken_at: float,
        is_first: bool,
    ) -> None:
        changes = self._listings.changes(reading, taken_at)
        self._state(changes, disseminate=not is_first)
        self._listings.date_back(changes, taken_at)

    def _state(
        self,
        records: Iterable[EndpointRecord],
        *,
        disseminate: bool = True,
    ) -> None:
        self._membership.gossip.merge_records(
            endpoints=records, disseminate=disseminate
        )

    def _on_records(self, records: tuple[EndpointRecord, ...]) -> None:
        self._view = None
        self._listings.note(records, trio.current_time())
        if any(_is_leaving(record) for record in records):
            self._membership.push()


def _is_leaving(record: EndpointRecord) -> bool:
    return record.leaving or record.listed is ListingState.LEAVING
