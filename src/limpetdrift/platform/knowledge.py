"""Keeps routes and endpoints as the platform's store shows them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpointlist import decode_endpoint
from limpetdrift.platform.following import Followed, Follower
from limpetdrift.platform.store import StoreClient, StoredRow
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpointview import EndpointView
from limpetdrift.state.heldroutes import HeldRoutes

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
ENDPOINTS_TABLE = 'servers'
# How often the configuration is confirmed, as a share of the time in which a
# key that was taken away must be refused.
CONFIRM_SHARE = 0.25
# The list needs no confirmation; this bounds how long a silent feed is kept.
LIST_WAIT_SECONDS = 3.0
# Entries that lapsed while the store was away come back within two seconds
# of its return; those that don't are gone.
LAPSE_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True)
class KnowledgeInputs:
    """What is kept up to date, from where."""

    store: StoreClient
    routes: HeldRoutes
    view: EndpointView
    clock: Callable[[], float]
    randomness: random.Random
    revoke_seconds: float


class Knowledge:
    """The followers of both tables; ``run`` keeps them going."""

    def __init__(self, *, inputs: KnowledgeInputs) -> None:
        self._inputs = inputs
        self._has_list = False
        self._lapsed: dict[str, float] = {}
        self._complaints: dict[str, str] = {}
        self._configuration = self._follow(
            Followed(
                table=CONFIGURATION_TABLE,
                replace=self._take_configuration,
                apply=self._take_configuration,
                confirm=self._confirm,
                wait_seconds=inputs.revoke_seconds * CONFIRM_SHARE,
            ),
        )
        self._endpoints = self._follow(
            Followed(
                table=ENDPOINTS_TABLE,
                replace=self._replace_endpoints,
                apply=self._apply_endpoints,
                confirm=lambda read_at: None,
                wait_seconds=LIST_WAIT_SECONDS,
            ),
        )

    @property
    def is_complete(self) -> bool:
        """Whether there are both routes and a list."""
        return self._has_list and self._inputs.routes.table is not None

    async def run(self) -> None:
        """Follow both tables until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._endpoints.run)
            nursery.start_soon(self._drop_lapsed)

    def _follow(self, followed: Followed) -> Follower:
        return Follower(
            store=self._inputs.store,
            followed=followed,
            clock=self._inputs.clock,
            randomness=self._inputs.randomness,
        )

    def _take_configuration(
        self,
        rows: tuple[StoredRow, ...],
        read_at: float,
    ) -> None:
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._use_configuration(row, read_at)

    def _use_configuration(self, row: StoredRow, read_at: float) -> None:
        decoded = decode_route_table(row.value)
        if decoded.is_error():
            warn('configuration can not be read', detail=decoded.error)
            telemetry.count('configurations_unread')
            return
        routes = self._inputs.routes
        if routes.take(decoded.ok, read_at):
            note(
                'configuration in force',
                version=routes.version,
                routes=len(decoded.ok.routes),
                accounts=len(decoded.ok.accounts),
            )

    def _confirm(self, read_at: float) -> None:
        routes = self._inputs.routes
        routes.confirm(routes.version, read_at)

    def _replace_endpoints(
        self,
        rows: tuple[StoredRow, ...],
        read_at: float,
    ) -> None:
        endpoints = [self._decode(row) for row in rows]
        listed = [each for each in endpoints if each is not None]
        names = {each.name for each in listed}
        for known in self._inputs.view.listed:
            if known.name not in names:
                self._drop(known.name)
        for endpoint in listed:
            self._put(endpoint)
        self._has_list = True
        note('endpoint list read', endpoints=len(listed), rows=len(rows))

    def _apply_endpoints(
        self,
        rows: tuple[StoredRow, ...],
        read_at: float,
    ) -> None:
        for row in rows:
            endpoint = self._decode(row)
            if endpoint is None:
                self._drop(row.key)
            else:
                self._put(endpoint)

    def _put(self, endpoint: ListedEndpoint) -> None:
        self._lapsed.pop(endpoint.name, None)
        view = self._inputs.view
        if view.find(endpoint.name, endpoint.lifetime) != endpoint:
            note(
                'endpoint listed',
                endpoint=endpoint.name,
                lifetime=endpoint.lifetime,
                service=endpoint.service,
                address=endpoint.address,
                leaving=endpoint.leaving,
            )
            view.put(endpoint)

    def _drop(self, name: str) -> None:
        """Drop an endpoint, later where its entry may only have lapsed."""
        if self._endpoints.outage_ended_within(2 * LAPSE_SECONDS):
            self._lapsed.setdefault(name, self._inputs.clock())
            return
        note('endpoint gone from the list', endpoint=name)
        self._inputs.view.drop(name)

    async def _drop_lapsed(self) -> None:
        while True:
            await trio.sleep(LAPSE_SECONDS / 10)
            if self._endpoints.outage_ended_within(LAPSE_SECONDS):
                continue
            oldest = self._inputs.clock() - LAPSE_SECONDS
            for name, since in tuple(self._lapsed.items()):
                if since <= oldest:
                    self._lapsed.pop(name)
                    note('endpoint did not come back', endpoint=name)
                    self._inputs.view.drop(name)

    def _decode(self, row: StoredRow) -> ListedEndpoint | None:
        if row.value is None:
            return None
        decoded = decode_endpoint(row.key, row.value)
        if decoded.is_ok():
            return decoded.ok
        if self._complaints.get(row.key) != decoded.error:
            self._complaints[row.key] = decoded.error
            warn(
                'entry of the list names no endpoint',
                entry=row.key,
                detail=decoded.error,
            )
            telemetry.count('endpoint_entries_unread')
        return None
