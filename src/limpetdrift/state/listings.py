"""Turns snapshots of the instance list into records of endpoints.

A snapshot may be older than the record that this node holds. So this node
keeps, for each record, the time by its own clock from which on its listing is
known to be true: when the snapshot was taken, or when the record arrived from
another node. Only a snapshot that was taken later replaces the listing.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from limpetdrift.protocol.gossip import EndpointRecord, ListingState
from limpetdrift.protocol.instances import InstanceList, InstanceListItem
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.state.endpoint_records import UNKNOWN_INCARNATION
from limpetdrift.state.records import RecordTable

# A plain service reports no incarnation. It begins with this one, and each
# return to the list counts as a new one.
FIRST_INCARNATION = 1
# Retention period of endpoints that are no longer listed.
FORGET_ABSENT_SECONDS = 600.0
# List version of a record that isn't from the instance list.
UNREAD_LIST_VERSION = 0


@dataclass(kw_only=True, slots=True)
class _LearnedTimes:
    """When this node learned the listing and incarnation of an endpoint."""

    list_version: int
    listed_at: float
    incarnation: int
    incarnation_at: float


class Listings:
    """The endpoint records, and when this node learned each of them."""

    def __init__(self, *, table: RecordTable[EndpointRecord]) -> None:
        self._table = table
        self._learned: dict[str, _LearnedTimes] = {}

    def note_learned(
        self, records: Iterable[EndpointRecord], now: float
    ) -> None:
        """Record ``now`` as the time at which changed records were learned."""
        for received in records:
            record = self._table.find(received.name)
            learned = self._learned.get(received.name)
            if learned is None:
                self._learned[received.name] = _LearnedTimes(
                    list_version=record.list_version,
                    listed_at=now,
                    incarnation=record.incarnation,
                    incarnation_at=now,
                )
                continue
            if record.list_version != learned.list_version:
                learned.list_version = record.list_version
                learned.listed_at = now
            if record.incarnation != learned.incarnation:
                learned.incarnation = record.incarnation
                learned.incarnation_at = now

    def changes(
        self,
        instance_list: InstanceList,
        taken_at: float,
    ) -> tuple[EndpointRecord, ...]:
        """Return the records that a snapshot of the list changes or adds."""
        listed = {each.endpoint.name: each for each in instance_list.endpoints}
        changed = [
            record
            for each in listed.values()
            for record in self._apply_item(each, taken_at)
        ]
        for held in self._table.records():
            if (
                held.name not in listed
                and held.listed is not ListingState.ABSENT
            ):
                if self._is_newer(held, taken_at):
                    changed.append(_update_listing(held, ListingState.ABSENT))
        return tuple(changed)

    def date_back(
        self,
        records: Iterable[EndpointRecord],
        taken_at: float,
    ) -> None:
        """Date records from a snapshot back to when it was taken."""
        for record in records:
            learned = self._learned[record.name]
            if learned.list_version == record.list_version:
                learned.listed_at = taken_at

    def forget_absent(self, now: float) -> None:
        """Drop the endpoints whose retention period has ended."""
        for record in self._table.records():
            learned = self._learned.get(record.name)
            if record.listed is not ListingState.ABSENT or learned is None:
                continue
            if now - learned.listed_at >= FORGET_ABSENT_SECONDS:
                self._table.drop(record.name)
                self._learned.pop(record.name)

    def _apply_item(
        self,
        received: InstanceListItem,
        taken_at: float,
    ) -> Iterator[EndpointRecord]:
        held = self._table.find(received.endpoint.name)
        if held is None:
            yield _make_record(received)
            return
        if not self._is_newer(held, taken_at):
            return
        record = held
        if (held.listed, held.endpoint) != (received.listed, received.endpoint):
            record = _update_listing(held, received.listed, received.endpoint)
        if _has_restarted(held, received):
            record = replace(
                record,
                incarnation=held.incarnation + 1,
                leaving=False,
            )
        elif received.listed is ListingState.LEAVING:
            is_known = held.incarnation != UNKNOWN_INCARNATION
            learned_at = self._learned[held.name].incarnation_at
            # A stale list may still describe the previous incarnation.
            if is_known and taken_at > learned_at:
                record = replace(record, leaving=True)
        if record != held:
            yield record

    def _is_newer(self, held: EndpointRecord, taken_at: float) -> bool:
        never_read = held.list_version == UNREAD_LIST_VERSION
        return never_read or taken_at > self._learned[held.name].listed_at


def initial_records(
    endpoints: Iterable[Endpoint],
) -> tuple[EndpointRecord, ...]:
    """Return records to start with, which any snapshot replaces."""
    return tuple(
        replace(
            _make_record(
                InstanceListItem(endpoint=each, listed=ListingState.LIVE)
            ),
            list_version=UNREAD_LIST_VERSION,
            leaving=each.leaving,
        )
        for each in endpoints
    )


def _make_record(received: InstanceListItem) -> EndpointRecord:
    is_service = received.endpoint.role is Role.SERVICE
    return EndpointRecord(
        name=received.endpoint.name,
        incarnation=FIRST_INCARNATION if is_service else UNKNOWN_INCARNATION,
        listed=received.listed,
        list_version=1,
        endpoint=received.endpoint,
    )


def _update_listing(
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


def _has_restarted(held: EndpointRecord, received: InstanceListItem) -> bool:
    """Return whether the list shows that a service was restarted."""
    if received.endpoint.role is not Role.SERVICE:
        return False
    if (
        UNREAD_LIST_VERSION == held.list_version
        or received.listed is not ListingState.LIVE
    ):
        return False
    moved = held.endpoint.address != received.endpoint.address
    return moved or held.listed is not ListingState.LIVE
