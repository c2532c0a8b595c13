"""Applies changes of the platform's endpoint list to the endpoint view.

The rows of running endpoints may lapse while the store is unreachable, and
come back after it. So endpoints without a row stay in the view for a grace
period after an outage, lest all of them are dropped at once.
"""

from collections.abc import Callable, Iterable

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.store import StoredRow
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView

# Grace period after an outage of the store. Rows that lapsed during the outage
# come back within two seconds of its end; other endpoints are gone.
LAPSE_GRACE_SECONDS = 2.0
_CHECK_INTERVAL_SECONDS = 0.2

# Returns whether the store is unreachable, or was within the given seconds.
OutageWithin = Callable[[float], bool]


class EndpointSync:
    """Keeps the endpoint view in line with the endpoint list.

    ``on_drop`` is called when endpoints are dropped after the grace period, for
    which no row of the list changes.
    """

    def __init__(
        self,
        *,
        view: EndpointView,
        outage_within: OutageWithin,
        on_drop: Callable[[], None],
    ) -> None:
        self._view = view
        self._outage_within = outage_within
        self._on_drop = on_drop
        self._lapsed: set[str] = set()
        self._has_lapsed = trio.Event()
        self._logged_errors: dict[str, str] = {}

    def replace(self, rows: tuple[StoredRow, ...]) -> None:
        """Replace all endpoints by those of the whole list."""
        endpoints = [self._decode(row) for row in rows]
        listed = [each for each in endpoints if each is not None]
        names = {each.name for each in listed}
        for current in self._view.listed:
            if current.name not in names:
                self._drop(current.name)
        self._put_all(listed)
        note('endpoint list read', endpoints=len(listed), rows=len(rows))

    def replace_from_peer(self, endpoints: tuple[ListedEndpoint, ...]) -> None:
        """Replace all endpoints by a peer's.

        Those that the peer lacks are dropped at once, since it has waited for
        the grace period.
        """
        names = {each.name for each in endpoints}
        for current in self._view.listed:
            if current.name not in names:
                self._lapsed.discard(current.name)
                note(
                    'endpoint gone from the list of a peer',
                    endpoint=current.name,
                )
                self._view.drop(current.name)
        self._put_all(endpoints)

    def apply(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the rows that have changed."""
        for row in rows:
            endpoint = self._decode(row)
            if endpoint is None:
                self._drop(row.key)
            else:
                self._put(endpoint)

    async def run(self) -> None:
        """Drop lapsed endpoints after the grace period, until cancelled."""
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
            self._view.drop(name)
        self._lapsed.clear()
        self._on_drop()

    def _put(self, endpoint: ListedEndpoint) -> None:
        self._put_all((endpoint,))

    def _put_all(self, endpoints: Iterable[ListedEndpoint]) -> None:
        changed = []
        for endpoint in endpoints:
            self._lapsed.discard(endpoint.name)
            if self._view.find(endpoint.name, endpoint.lifetime) != endpoint:
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

    def _drop(self, name: str) -> None:
        """Drop an endpoint, or only mark it as lapsed in or after an outage."""
        if self._outage_within(LAPSE_GRACE_SECONDS):
            self._lapsed.add(name)
            self._has_lapsed.set()
            return
        note('endpoint gone from the list', endpoint=name)
        self._view.drop(name)

    def _decode(self, row: StoredRow) -> ListedEndpoint | None:
        if row.value is None:
            return None
        decoded = decode_endpoint(row.key, row.value)
        if decoded.is_ok():
            return decoded.ok
        if self._logged_errors.get(row.key) != decoded.error:
            self._logged_errors[row.key] = decoded.error
            telemetry.count('endpoint_entries_unread')
            warn(
                'row of the endpoint list can not be decoded',
                entry=row.key,
                detail=decoded.error,
            )
        return None
