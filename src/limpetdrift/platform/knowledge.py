"""Keeps routes and endpoints as the platform's store shows them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.discovery import usable_entries
from limpetdrift.coordination.knowledgerelay import (
    HeldList,
    KnowledgeRelay,
    RelayInputs,
)
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.logs import note, warn
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.following import Followed, Follower
from limpetdrift.platform.listkeeping import ListKeeper
from limpetdrift.platform.store import RowPage, StoreClient, StoredRow
from limpetdrift.protocol.knowledge import digest_of
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpointview import EndpointView
from limpetdrift.state.heldroutes import HeldRoutes
from limpetdrift.transport.messages import Address

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
ENDPOINTS_TABLE = 'servers'
# How often the configuration is confirmed, as a share of the time in which a
# key that was taken away must be refused.
CONFIRM_SHARE = 0.25
# A confirmation that is so many waits old is made up for at once, by a call
# that ends after the shorter time.
_OVERDUE_WAITS = 2.2
_HURRY_SECONDS = 0.02
# The list needs no confirmation; this bounds how long a silent feed is kept.
LIST_WAIT_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True)
class KnowledgeInputs:
    """What is kept up to date, from where and with whom."""

    store: StoreClient
    routes: HeldRoutes
    view: EndpointView
    membership: Membership
    call: PeerCall
    seeds: Callable[[], tuple[Address, ...]]
    clock: Callable[[], float]
    randomness: random.Random
    revoke_seconds: float


class Knowledge:
    """Routes and endpoints, from the store or from peers that read it."""

    def __init__(self, *, inputs: KnowledgeInputs) -> None:
        self._inputs = inputs
        self._routes = inputs.routes
        self._held = HeldList()
        self._complete = trio.Event()
        self._list = ListKeeper(
            view=inputs.view,
            outage_within=lambda seconds: self._endpoints.outage_within(
                seconds,
            ),
            on_drop=self._note_list,
        )
        self.relay = KnowledgeRelay(inputs=self._relay_inputs())
        self._configuration = _make_follower(
            inputs,
            Followed(
                table=CONFIGURATION_TABLE,
                replace=self._take_configuration,
                apply=self._take_configuration,
                confirm=self._confirm,
                lost=self.relay.wake,
                is_wanted=lambda: self.relay.reads_store,
                wait_seconds=self._confirm_seconds,
                retry_seconds=lambda: self.relay.retry_seconds,
            ),
        )
        self._endpoints = _make_follower(
            inputs,
            Followed(
                table=ENDPOINTS_TABLE,
                replace=lambda page, at: self._take_rows(
                    self._list.replace,
                    page,
                ),
                apply=lambda page, at: self._take_rows(
                    self._list.apply,
                    page,
                ),
                confirm=self._confirm_list,
                lost=self.relay.wake,
                is_wanted=lambda: self.relay.reads_store,
                wait_seconds=lambda: LIST_WAIT_SECONDS,
                retry_seconds=lambda: self.relay.retry_seconds,
            ),
        )
        inputs.routes.on_change.append(lambda table: self._note_change())

    @property
    def is_complete(self) -> bool:
        """Whether there are both routes and a list."""
        return self._complete.is_set()

    async def wait_complete(self) -> None:
        """Wait for the first routes and the first list."""
        await self._complete.wait()

    async def run(self) -> None:
        """Keep all up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._endpoints.run)
            nursery.start_soon(self._list.run)
            nursery.start_soon(self.relay.run)

    def _relay_inputs(self) -> RelayInputs:
        inputs = self._inputs
        return RelayInputs(
            node=inputs.membership.node,
            call=inputs.call,
            routes=inputs.routes,
            held_list=self._held,
            endpoints=lambda: inputs.view.listed,
            take_endpoints=self._take_endpoints,
            entries=lambda: tuple(usable_entries(inputs.membership)),
            seeds=inputs.seeds,
            is_cut=lambda: self._configuration.is_cut,
            clock=inputs.clock,
            randomness=inputs.randomness,
        )

    def _confirm_seconds(self) -> float:
        """Return how long a read may wait for news.

        Answers a process that stood still or was cut off: it confirms at
        once what it holds, since it refuses keys until then.
        """
        own = self._inputs.revoke_seconds * CONFIRM_SHARE
        if self._routes.age_seconds() > own * _OVERDUE_WAITS:
            return _HURRY_SECONDS
        return self.relay.wait_seconds or own

    def _take_rows(
        self,
        take: Callable[[tuple[StoredRow, ...]], None],
        page: RowPage,
    ) -> None:
        take(page.rows)
        self._held.version = page.version
        self._note_list()

    def _take_endpoints(self, endpoints: tuple[ListedEndpoint, ...]) -> None:
        self._list.take(endpoints)
        self._note_list()

    def _note_list(self) -> None:
        self._held.digest = digest_of(self._inputs.view.listed)
        self._note_change()

    def _confirm_list(self, read_at: float) -> None:
        self._held.confirmed_at = max(self._held.confirmed_at, read_at)

    def _take_configuration(self, page: RowPage, read_at: float) -> None:
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._use_configuration(row.value, read_at)

    def _use_configuration(self, payload: bytes, read_at: float) -> None:
        decoded = decode_route_table(payload)
        if decoded.is_error():
            telemetry.count('configurations_unread')
            warn('configuration can not be read', detail=decoded.error)
        elif self._routes.take(decoded.ok, read_at):
            note(
                'configuration in force',
                version=self._routes.version,
                source='store',
                routes=len(decoded.ok.routes),
                accounts=len(decoded.ok.accounts),
            )

    def _confirm(self, read_at: float) -> None:
        self._routes.confirm(self._routes.version, read_at)

    def _note_change(self) -> None:
        if self._held.version and self._routes.table is not None:
            self._complete.set()
        self.relay.wake()


def _make_follower(inputs: KnowledgeInputs, followed: Followed) -> Follower:
    return Follower(
        store=inputs.store,
        followed=followed,
        clock=inputs.clock,
        randomness=inputs.randomness,
    )
