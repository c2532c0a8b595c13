"""Applies changes of the platform's endpoint list to the endpoint view.

The rows of running endpoints may lapse while the store is unreachable, and
come back after it. So endpoints without a row stay in the view for a grace
period after an outage, lest all of them are dropped at once. The same holds
after the store came back from an older copy, which lacks newer rows and may
show endpoints that had gone; these stay out until their rows are written anew.
"""

import time
from collections.abc import Callable, Collection, Iterable

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.store import StoredRow
from limpetdrift.protocol.routing_sync import UNKNOWN_ERA
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.gone_lifetimes import Departure, GoneLifetimes
from limpetdrift.state.seen_faults import MAX_REASON_LENGTH, SeenFaults

# Grace period after an outage of the store. Rows that lapsed during the outage
# come back within two seconds of its end; other endpoints are gone.
LAPSE_GRACE_SECONDS = 2.0
_CHECK_INTERVAL_SECONDS = 0.2
_MILLISECONDS = 1000

# Returns whether the store is unreachable, or was within the given seconds.
OutageWithin = Callable[[float], bool]


class EndpointSync:
    """Keeps the endpoint view in line with the endpoint list.

    ``on_drop`` is called when endpoints are dropped after the grace period, for
    which no row of the list changes. ``time_of_day`` returns seconds since
    1970.
    """

    def __init__(
        self,
        *,
        view: EndpointView,
        outage_within: OutageWithin,
        on_drop: Callable[[], None],
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._view = view
        self._outage_within = outage_within
        self._on_drop = on_drop
        self._time_of_day = time_of_day
        self._lapsed: set[str] = set()
        self._has_lapsed = trio.Event()
        self._faults = SeenFaults()
        self._gone = GoneLifetimes()
        self._era = UNKNOWN_ERA
        # The versions of the rows by name, where they were read here.
        self._row_versions: dict[str, int] = {}

    def replace(
        self, rows: tuple[StoredRow, ...], era: int = UNKNOWN_ERA
    ) -> None:
        """Replace all endpoints by those of the whole list."""
        decoded = [(self._decode(row), row) for row in rows]
        if era > self._era:
            self._record_earlier_lifetimes(
                endpoint for endpoint, _ in decoded if endpoint is not None
            )
        self._era = era
        listed = [
            endpoint
            for endpoint, row in decoded
            if endpoint is not None and not self._is_of_copy(endpoint, row)
        ]
        names = {each.name for each in listed}
        for current in self._view.listed:
            if current.name not in names:
                self._drop(current.name)
        self._lapsed -= names
        # A row that was read before states a remaining time of then.
        seen = {
            row.key
            for row in rows
            if row.version == self._row_versions.get(row.key)
        }
        self._put_all(listed, seen)
        self._row_versions = {row.key: row.version for row in rows}
        note('endpoint list read', endpoints=len(listed), rows=len(rows))

    def replace_from_peer(
        self, endpoints: tuple[ListedEndpoint, ...], era: int = UNKNOWN_ERA
    ) -> None:
        """Replace all endpoints by a peer's.

        Those that the peer lacks are dropped at once, since it has waited for
        the grace period. That is no departure, since the peer may have dropped
        them only because their rows were not written in time. Those that have
        lapsed here stay so until a row shows them, since the peer's list may
        hold them for the same reason.
        """
        self._era = era
        names = {each.name for each in endpoints}
        for current in self._view.listed:
            if current.name not in names:
                self._lapsed.discard(current.name)
                note(
                    'endpoint gone from the list of a peer',
                    endpoint=current.name,
                )
                self._view.drop(current.name)
        self._row_versions.clear()
        self._put_all(endpoints)

    def apply(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the rows that have changed."""
        for row in rows:
            endpoint = self._decode(row)
            if endpoint is None:
                self._record_departure(row.key)
                # Most rows that name no endpoint never named one.
                if self._view.find(row.key) is not None:
                    self._drop(row.key)
            else:
                self._lapsed.discard(endpoint.name)
                self._put_all((endpoint,))
                self._row_versions[row.key] = row.version

    async def run(self) -> None:
        """Drop lapsed endpoints after the grace period, until cancelled."""
        if self._lapsed:
            self._has_lapsed.set()
        while True:
            await self._has_lapsed.wait()
            self._has_lapsed = trio.Event()
            while self._lapsed:
                await trio.sleep(_CHECK_INTERVAL_SECONDS)
                self.drop_lapsed()

    def drop_lapsed(self) -> None:
        """Drop lapsed endpoints if the grace period is over."""
        if not self._lapsed or self._outage_within(LAPSE_GRACE_SECONDS):
            return
        for name in self._lapsed:
            note('endpoint did not come back', endpoint=name)
            # No departure: that its row was not written in time is no proof
            # that the endpoint has gone.
            self._row_versions.pop(name, None)
            self._view.drop(name)
        self._lapsed.clear()
        self._on_drop()

    def _put_all(
        self,
        endpoints: Iterable[ListedEndpoint],
        seen: Collection[str] = (),
    ) -> None:
        """Put endpoints in the view; ``seen`` names those of rows known here.

        A row that is seen again must not begin a cold state anew.
        """
        changed = []
        for endpoint in endpoints:
            self._gone.discard(endpoint)
            current = self._view.find(endpoint.name)
            if endpoint.name not in seen:
                self._apply_cold_time(endpoint, current)
            # The lifetime is the time of the start, so it grows.
            if current is not None and current.lifetime < endpoint.lifetime:
                self._record_departure(current.name)
            if current != endpoint:
                changed.append(endpoint)
                note(
                    'endpoint listed',
                    endpoint=endpoint.name,
                    lifetime=endpoint.lifetime,
                    service=endpoint.service,
                    address=endpoint.address,
                    leaving=endpoint.leaving,
                )
        if changed:
            self._view.put_all(changed)

    def _apply_cold_time(
        self, endpoint: ListedEndpoint, current: ListedEndpoint | None
    ) -> None:
        is_new = current is None or current.lifetime < endpoint.lifetime
        started_at = endpoint.lifetime / _MILLISECONDS
        self._view.limits.cold.apply_row(
            endpoint,
            is_new=is_new,
            age_seconds=self._time_of_day() - started_at,
        )

    def _drop(self, name: str) -> None:
        """Drop an endpoint, or only mark it as lapsed in or after an outage."""
        if self._outage_within(LAPSE_GRACE_SECONDS):
            self._lapsed.add(name)
            self._has_lapsed.set()
            return
        note('endpoint gone from the list', endpoint=name)
        self._remove(name)

    def _remove(self, name: str) -> None:
        self._record_departure(name)
        self._row_versions.pop(name, None)
        self._view.drop(name)

    def _record_departure(self, name: str) -> None:
        endpoint = self._view.find(name)
        if endpoint is not None:
            row_version = self._row_versions.get(name)
            self._gone.add(
                endpoint, Departure(era=self._era, row_version=row_version)
            )

    def _record_earlier_lifetimes(
        self, endpoints: Iterable[ListedEndpoint]
    ) -> None:
        """Record endpoints that have started again since, as known here."""
        for endpoint in endpoints:
            current = self._view.find(endpoint.name)
            if current is not None and current.lifetime > endpoint.lifetime:
                self._gone.add(
                    endpoint, Departure(era=self._era, row_version=None)
                )

    def _is_of_copy(self, endpoint: ListedEndpoint, row: StoredRow) -> bool:
        is_of_copy = self._gone.is_shown_by_copy(
            endpoint, self._era, row.version
        )
        if is_of_copy:
            note(
                'endpoint that had gone is in an older copy of the store',
                endpoint=endpoint.name,
                lifetime=endpoint.lifetime,
            )
        return is_of_copy

    def _decode(self, row: StoredRow) -> ListedEndpoint | None:
        if row.value is None:
            self._faults.forget(row.key)
            return None
        decoded = decode_endpoint(row.key, row.value)
        if decoded.is_ok():
            self._faults.forget(row.key)
            return decoded.ok
        if self._faults.is_new(row.key, decoded.error):
            telemetry.count('endpoint_entries_unread')
            warn(
                'row of the endpoint list can not be decoded',
                entry=row.key[:MAX_REASON_LENGTH],
                detail=decoded.error[:MAX_REASON_LENGTH],
            )
        return None
