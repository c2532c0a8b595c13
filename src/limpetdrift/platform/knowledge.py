"""Keeps routes and endpoints as the platform's store shows them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.following import Followed, Follower
from limpetdrift.platform.listkeeping import ListKeeper
from limpetdrift.platform.store import StoreClient, StoredRow
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
        self._routes = inputs.routes
        self._has_list = False
        self._complete = trio.Event()
        self._list = ListKeeper(
            view=inputs.view,
            clock=inputs.clock,
            outage_within=lambda seconds: self._endpoints.outage_within(
                seconds,
            ),
        )
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
                replace=self._replace_list,
                apply=lambda rows, read_at: self._list.apply(rows),
                confirm=lambda read_at: None,
                wait_seconds=LIST_WAIT_SECONDS,
            ),
        )

    @property
    def is_complete(self) -> bool:
        """Whether there are both routes and a list."""
        return self._complete.is_set()

    async def wait_complete(self) -> None:
        """Wait for the first routes and the first list."""
        await self._complete.wait()

    async def run(self) -> None:
        """Follow both tables until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._endpoints.run)
            nursery.start_soon(self._list.run)

    def _follow(self, followed: Followed) -> Follower:
        return Follower(
            store=self._inputs.store,
            followed=followed,
            clock=self._inputs.clock,
            randomness=self._inputs.randomness,
        )

    def _replace_list(
        self,
        rows: tuple[StoredRow, ...],
        read_at: float,
    ) -> None:
        self._list.replace(rows)
        self._has_list = True
        self._check_complete()

    def _take_configuration(
        self,
        rows: tuple[StoredRow, ...],
        read_at: float,
    ) -> None:
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._use_configuration(row.value, read_at)
        self._check_complete()

    def _use_configuration(self, payload: bytes, read_at: float) -> None:
        decoded = decode_route_table(payload)
        if decoded.is_error():
            telemetry.count('configurations_unread')
            warn('configuration can not be read', detail=decoded.error)
        elif self._routes.take(decoded.ok, read_at):
            note(
                'configuration in force',
                version=self._routes.version,
                routes=len(decoded.ok.routes),
                accounts=len(decoded.ok.accounts),
            )

    def _confirm(self, read_at: float) -> None:
        self._routes.confirm(self._routes.version, read_at)

    def _check_complete(self) -> None:
        if self._has_list and self._routes.table is not None:
            self._complete.set()
