"""Takes rows of the platform's list into the view of endpoints."""

from collections.abc import Callable

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.store import StoredRow
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView

# Entries that lapsed while the store was away come back within two seconds
# of its return; those that don't are gone.
LAPSE_SECONDS = 2.0
_CHECK_SECONDS = 0.2

# Whether the store was out of reach within so many seconds, or is now.
OutageWithin = Callable[[float], bool]


class EndpointSync:
    """Decides what a row that came, changed or went says of an endpoint.

    ``on_drop`` is called when entries are dropped without a new row.
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
        self._complaints: dict[str, str] = {}

    def replace(self, rows: tuple[StoredRow, ...]) -> None:
        """Take the whole list."""
        endpoints = [self._decode(row) for row in rows]
        listed = [each for each in endpoints if each is not None]
        names = {each.name for each in listed}
        for known in self._view.listed:
            if known.name not in names:
                self._drop(known.name)
        for endpoint in listed:
            self._put(endpoint)
        note('endpoint list read', endpoints=len(listed), rows=len(rows))

    def replace_from_peer(self, endpoints: tuple[ListedEndpoint, ...]) -> None:
        """Take the whole list from a peer, which waits for lapsed entries."""
        names = {each.name for each in endpoints}
        for known in self._view.listed:
            if known.name not in names:
                self._lapsed.discard(known.name)
                note('endpoint gone from a peer', endpoint=known.name)
                self._view.drop(known.name)
        for endpoint in endpoints:
            self._put(endpoint)

    def apply(self, rows: tuple[StoredRow, ...]) -> None:
        """Take the rows that have changed."""
        for row in rows:
            endpoint = self._decode(row)
            if endpoint is None:
                self._drop(row.key)
            else:
                self._put(endpoint)

    async def run(self) -> None:
        """Drop what does not come back after an outage, until cancelled."""
        while True:
            await trio.sleep(_CHECK_SECONDS)
            self.drop_lapsed()

    def drop_lapsed(self) -> None:
        """Drop what is still missing so long after the store's return."""
        if not self._lapsed or self._outage_within(LAPSE_SECONDS):
            return
        for name in self._lapsed:
            note('endpoint did not come back', endpoint=name)
            self._view.drop(name)
        self._lapsed.clear()
        self._on_drop()

    def _put(self, endpoint: ListedEndpoint) -> None:
        self._lapsed.discard(endpoint.name)
        if self._view.find(endpoint.name, endpoint.lifetime) == endpoint:
            return
        note(
            'endpoint listed',
            endpoint=endpoint.name,
            lifetime=endpoint.lifetime,
            service=endpoint.service,
            address=endpoint.address,
            leaving=endpoint.leaving,
        )
        self._view.put(endpoint)

    def _drop(self, name: str) -> None:
        """Drop an endpoint, later where its entry may only have lapsed."""
        if self._outage_within(LAPSE_SECONDS):
            self._lapsed.add(name)
            return
        note('endpoint gone from the list', endpoint=name)
        self._view.drop(name)

    def _decode(self, row: StoredRow) -> ListedEndpoint | None:
        if row.value is None:
            return None
        decoded = decode_endpoint(row.key, row.value)
        if decoded.is_ok():
            return decoded.ok
        if self._complaints.get(row.key) != decoded.error:
            self._complaints[row.key] = decoded.error
            telemetry.count('endpoint_entries_unread')
            warn(
                'entry of the list names no endpoint',
                entry=row.key,
                detail=decoded.error,
            )
        return None
