"""Turns a reading of the instance list into records of endpoints.

A reading may be older than what is held, so each record's listing keeps the
time from which on it is known to have been true, by this node's clock. Only
a reading that was taken after it replaces it.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from limpetdrift.protocol.gossip import EndpointRecord, ListingState
from limpetdrift.protocol.instances import InstanceList, InstanceListItem
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.state.endpoint_records import UNKNOWN_INCARNATION
from limpetdrift.state.records import RecordTable

# A plain service reports no incarnation; each return to the list counts.
FIRST_INCARNATION = 1
FORGET_ABSENT_SECONDS = 600.0
START_VERSION = 0


@dataclass(kw_only=True, slots=True)
class _Heard:
    """When this node learnt what it holds of one endpoint."""

    list_version: int
    listed_at: float
    incarnation: int
    incarnation_at: float


class Listings:
    """The endpoint records, and when this node learnt each of them."""

    def __init__(self, *, table: RecordTable[EndpointRecord]) -> None:
        self._table = table
        self._heard: dict[str, _Heard] = {}

    def note(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Note when records came to be held."""
        for given in records:
            record = self._table.find(given.name)
            heard = self._heard.get(given.name)
            if heard is None:
                self._heard[given.name] = _Heard(
                    list_version=record.list_version,
                    listed_at=now,
                    incarnation=record.incarnation,
                    incarnation_at=now,
                )
                continue
            if record.list_version != heard.list_version:
                heard.list_version = record.list_version
                heard.listed_at = now
            if record.incarnation != heard.incarnation:
                heard.incarnation = record.incarnation
                heard.incarnation_at = now

    def changes(
        self,
        reading: InstanceList,
        taken_at: float,
    ) -> tuple[EndpointRecord, ...]:
        """Return the records that a reading changes or adds."""
        listed = {each.endpoint.name: each for each in reading.endpoints}
        changed = [
            record
            for each in listed.values()
            for record in self._listed(each, taken_at)
        ]
        for held in self._table.records():
            if (
                held.name not in listed
                and held.listed is not ListingState.ABSENT
            ):
                if self._is_later(held, taken_at):
                    changed.append(_restate(held, ListingState.ABSENT))
        return tuple(changed)

    def date_back(
        self,
        records: Iterable[EndpointRecord],
        taken_at: float,
    ) -> None:
        """Count this node's own reading from when it was taken."""
        for record in records:
            heard = self._heard[record.name]
            if heard.list_version == record.list_version:
                heard.listed_at = taken_at

    def forget_absent(self, now: float) -> None:
        """Drop the endpoints that the list has not named for long."""
        for record in self._table.records():
            heard = self._heard.get(record.name)
            if record.listed is not ListingState.ABSENT or heard is None:
                continue
            if now - heard.listed_at >= FORGET_ABSENT_SECONDS:
                self._table.drop(record.name)
                self._heard.pop(record.name)

    def _listed(
        self,
        given: InstanceListItem,
        taken_at: float,
    ) -> Iterator[EndpointRecord]:
        held = self._table.find(given.endpoint.name)
        if held is None:
            yield _first_record(given)
            return
        if not self._is_later(held, taken_at):
            return
        record = held
        if (held.listed, held.endpoint) != (given.listed, given.endpoint):
            record = _restate(held, given.listed, given.endpoint)
        if _has_returned(held, given):
            record = replace(
                record,
                incarnation=held.incarnation + 1,
                leaving=False,
            )
        elif given.listed is ListingState.LEAVING:
            known = held.incarnation != UNKNOWN_INCARNATION
            since = self._heard[held.name].incarnation_at
            # A late list may still speak of the start before this one.
            if known and taken_at > since:
                record = replace(record, leaving=True)
        if record != held:
            yield record

    def _is_later(self, held: EndpointRecord, taken_at: float) -> bool:
        unread = held.list_version == START_VERSION
        return unread or taken_at > self._heard[held.name].listed_at


def start_records(
    endpoints: Iterable[Endpoint],
) -> tuple[EndpointRecord, ...]:
    """Return records that any reading of the list replaces."""
    return tuple(
        replace(
            _first_record(
                InstanceListItem(endpoint=each, listed=ListingState.LIVE)
            ),
            list_version=START_VERSION,
            leaving=each.leaving,
        )
        for each in endpoints
    )


def _first_record(given: InstanceListItem) -> EndpointRecord:
    service = given.endpoint.role is Role.SERVICE
    return EndpointRecord(
        name=given.endpoint.name,
        incarnation=FIRST_INCARNATION if service else UNKNOWN_INCARNATION,
        listed=given.listed,
        list_version=1,
        endpoint=given.endpoint,
    )


def _restate(
    held: EndpointRecord,
    listed: ListingState,
    endpoint: Endpoint | None = None,
) -> EndpointRecord:
    return replace(
        held,
        listed=listed,
        list_version=held.list_version + 1,
        endpoint=endpoint or held.endpoint,
    )


def _has_returned(held: EndpointRecord, given: InstanceListItem) -> bool:
    """Return whether the list shows a service's new start."""
    if given.endpoint.role is not Role.SERVICE:
        return False
    if (
        START_VERSION == held.list_version
        or given.listed is not ListingState.LIVE
    ):
        return False
    moved = held.endpoint.address != given.endpoint.address
    return moved or held.listed is not ListingState.LIVE
