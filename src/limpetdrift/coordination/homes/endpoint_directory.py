"""Keeps the directory of this region's endpoints, and which are leaving.

A few entries poll the instance list, and gossip passes changes on to the
others. A signal that an endpoint is leaving, from whichever source, becomes a
record that is pushed at once and holds until the endpoint has restarted.

>>> endpoints = EndpointDirectory(membership=membership, ...)  # doctest: +SKIP
>>> nursery.start_soon(endpoints.run)  # doctest: +SKIP
>>> endpoints.mark_leaving('engine-3', LeavingSource.REFUSAL)  # doctest: +SKIP
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum, unique
from random import Random

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.homes.report_poller import ReportPoller
from limpetdrift.coordination.membership.instance_list_poller import ListPoller
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.logs import note
from limpetdrift.protocol.gossip import EndpointRecord, ListingState
from limpetdrift.protocol.instances import InstanceList, ReadList
from limpetdrift.protocol.lifecycle_reports import LifecycleReport, ReadReport
from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.endpoint_records import UNKNOWN_INCARNATION
from limpetdrift.state.listings import Listings, initial_records
from limpetdrift.transport.messages import Address

CLEANUP_INTERVAL_SECONDS = 60.0
# Signals beyond this number only mark the recorded incarnation of an endpoint.
MAX_UNRESOLVED_SIGNALS = 100


@unique
class LeavingSource(StrEnum):
    """Sources of leaving signals, other than the instance list."""

    REPORT = 'report'
    REFUSAL = 'refusal'
    OPERATOR = 'operator'


@dataclass(frozen=True, kw_only=True, slots=True)
class _UnresolvedSignal:
    """A leaving signal that came without the endpoint's incarnation."""

    endpoint: Endpoint
    source: LeavingSource
    received_at: float


@dataclass(frozen=True, kw_only=True)
class EndpointInputs:
    """The sources from which the directory is filled.

    ``static`` endpoints are in the directory until the list has been read.
    """

    read_list: ReadList
    read_report: ReadReport
    static: tuple[Endpoint, ...] = ()


class EndpointDirectory:
    """The endpoints of a region by the records that reached this entry."""

    def __init__(
        self,
        *,
        membership: Membership,
        inputs: EndpointInputs,
        randomness: Random,
    ) -> None:
        self._membership = membership
        self._table = membership.gossip.endpoints
        self._listings = Listings(table=self._table)
        self._cached_endpoints: tuple[Endpoint, ...] | None = None
        self._read_report = inputs.read_report
        self._unresolved_signals = trio.open_memory_channel[_UnresolvedSignal](
            MAX_UNRESOLVED_SIGNALS,
        )
        self._list_poller = ListPoller(
            membership=membership,
            randomness=randomness,
            read_list=inputs.read_list,
            on_list=self._apply_list,
        )
        self._report_poller = ReportPoller(
            membership=membership,
            randomness=randomness,
            endpoints=self.endpoints,
            read_report=inputs.read_report,
            on_report=self.apply_report,
        )
        # Returns whether this node, or one whose gossip reached it, has just
        # read the list.
        self.list_reachable = self._list_poller.was_read_recently
        membership.on_endpoints.append(self._on_records)
        self._merge(initial_records(inputs.static), disseminate=False)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints in the list, with ``leaving`` up to date."""
        if self._cached_endpoints is None:
            self._cached_endpoints = tuple(
                replace(record.endpoint, leaving=_is_leaving(record))
                for record in self._table.records()
                if record.endpoint and record.listed is not ListingState.ABSENT
            )
        return self._cached_endpoints

    def is_leaving(self, name: str) -> bool:
        """Return whether the endpoint is leaving or is not in the directory."""
        record = self._table.find(name)
        return record is None or _is_leaving(record)

    def seeds(self) -> tuple[Address, ...]:
        """Return the peer addresses of entries from the latest list."""
        return self._list_poller.seeds

    def mark_leaving(
        self,
        name: str,
        source: LeavingSource,
        incarnation: int = UNKNOWN_INCARNATION,
    ) -> bool:
        """Mark an endpoint as leaving until its next incarnation.

        Return whether the endpoint is in the directory. A signal of an
        earlier incarnation changes nothing. Without ``incarnation`` the
        recorded one is marked at once, and later the one that the endpoint
        reports when it is asked, unless it has started since the signal.
        """
        record = self._table.find(name)
        if record is None:
            return False
        if incarnation == UNKNOWN_INCARNATION:
            self._queue_unresolved(record, source)
        marked = incarnation or record.incarnation
        is_new = (marked, True) > (record.incarnation, record.leaving)
        if is_new:
            telemetry.count('endpoint_leaving_signs', source=source)
            self._merge((replace(record, incarnation=marked, leaving=True),))
        return True

    def apply_report(self, name: str, report: LifecycleReport) -> None:
        """Update an endpoint from its own lifecycle report."""
        self._report_poller.record_report_read(name)
        record = self._table.find(name)
        if record is None:
            return
        if report.leaving:
            self.mark_leaving(name, LeavingSource.REPORT, report.incarnation)
        elif report.incarnation > record.incarnation:
            self._merge(
                (
                    replace(
                        record,
                        incarnation=report.incarnation,
                        leaving=False,
                    ),
                ),
            )

    async def run(self) -> None:
        """Poll the list and the endpoints' reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._list_poller.run)
            nursery.start_soon(self._report_poller.run)
            nursery.start_soon(self._resolve_signals)
            while True:
                await trio.sleep(CLEANUP_INTERVAL_SECONDS)
                self._listings.forget_absent(trio.current_time())

    def _queue_unresolved(
        self,
        record: EndpointRecord,
        source: LeavingSource,
    ) -> None:
        """Queue a signal whose incarnation is to be read from the endpoint.

        The endpoint may have restarted while no entry has noticed. The report
        of its new incarnation would then clear a signal that was recorded for
        the earlier one.
        """
        if record.endpoint is None:
            return
        try:
            self._unresolved_signals[0].send_nowait(
                _UnresolvedSignal(
                    endpoint=record.endpoint,
                    source=source,
                    received_at=trio.current_time(),
                ),
            )
        except trio.WouldBlock:
            telemetry.count('endpoint_signs_not_settled')

    async def _resolve_signals(self) -> None:
        async for signal in self._unresolved_signals[1]:
            report = await self._read_report(signal.endpoint)
            if report.is_error() or not report.ok.incarnation:
                continue
            age_seconds = trio.current_time() - signal.received_at
            if report.ok.has_started_within(age_seconds):
                note(
                    'endpoint has restarted since it was said to leave',
                    endpoint=signal.endpoint.name,
                    incarnation=report.ok.incarnation,
                    source=signal.source,
                )
                continue
            self.mark_leaving(
                signal.endpoint.name,
                signal.source,
                report.ok.incarnation,
            )

    def _apply_list(
        self,
        instance_list: InstanceList,
        taken_at: float,
        is_first: bool,
    ) -> None:
        changes = self._listings.changes(instance_list, taken_at)
        self._merge(changes, disseminate=not is_first)
        self._listings.date_back(changes, taken_at)

    def _merge(
        self,
        records: Iterable[EndpointRecord],
        *,
        disseminate: bool = True,
    ) -> None:
        self._membership.gossip.merge_records(
            endpoints=records, disseminate=disseminate
        )

    def _on_records(self, records: tuple[EndpointRecord, ...]) -> None:
        self._cached_endpoints = None
        self._listings.note_learned(records, trio.current_time())
        if any(_is_leaving(record) for record in records):
            self._membership.push()


def _is_leaving(record: EndpointRecord) -> bool:
    return record.leaving or record.listed is ListingState.LEAVING
