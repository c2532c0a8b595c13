"""Keeps routes and endpoints as the platform's store shows them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.discovery import usable_entries
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.routing_relay import (
    EndpointListState,
    RoutingRelay,
    RoutingRelayInputs,
)
from limpetdrift.logs import note, warn
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpoint_sync import EndpointSync
from limpetdrift.platform.store import RowPage, StoreClient, StoredRow
from limpetdrift.platform.table_watcher import TableSubscription, TableWatcher
from limpetdrift.protocol.routing_sync import digest_of
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.route_cache import RouteTableCache
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
class ReplicaInputs:
    """What is kept up to date, from where and with whom."""

    store: StoreClient
    routes: RouteTableCache
    view: EndpointView
    membership: Membership
    call: PeerCall
    seeds: Callable[[], tuple[Address, ...]]
    clock: Callable[[], float]
    randomness: random.Random
    revoke_seconds: float


class StoreReplica:
    """Routes and endpoints, from the store or from peers that read it."""

    def __init__(self, *, inputs: ReplicaInputs) -> None:
        self._inputs = inputs
        self._routes = inputs.routes
        self._held = EndpointListState()
        self._complete = trio.Event()
        self._list = EndpointSync(
            view=inputs.view,
            outage_within=lambda seconds: self._endpoints.outage_within(
                seconds,
            ),
            on_drop=self._note_list,
        )
        self.relay = RoutingRelay(inputs=self._relay_inputs())
        self._configuration = _make_follower(
            inputs,
            TableSubscription(
                table=CONFIGURATION_TABLE,
                on_snapshot=self._take_configuration,
                on_changes=self._take_configuration,
                on_confirmed=self._confirm,
                on_store_lost=self.relay.notify_waiters,
                is_enabled=lambda: self.relay.is_store_reader,
                long_poll_seconds=self._confirm_seconds,
                max_retry_interval_seconds=lambda: (
                    self.relay.max_retry_interval_seconds
                ),
            ),
        )
        self._endpoints = _make_follower(
            inputs,
            TableSubscription(
                table=ENDPOINTS_TABLE,
                on_snapshot=lambda page, at: self._take_rows(
                    self._list.replace,
                    page,
                ),
                on_changes=lambda page, at: self._take_rows(
                    self._list.apply,
                    page,
                ),
                on_confirmed=self._confirm_list,
                on_store_lost=self.relay.notify_waiters,
                is_enabled=lambda: self.relay.is_store_reader,
                long_poll_seconds=lambda: LIST_WAIT_SECONDS,
                max_retry_interval_seconds=lambda: (
                    self.relay.max_retry_interval_seconds
                ),
            ),
        )
        inputs.routes.on_change.append(lambda table: self._note_change())

    @property
    def is_synced(self) -> bool:
        """Whether there are both routes and a list."""
        return self._complete.is_set()

    async def wait_synced(self) -> None:
        """Wait for the first routes and the first list."""
        await self._complete.wait()

    async def run(self) -> None:
        """Keep all up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._endpoints.run)
            nursery.start_soon(self._list.run)
            nursery.start_soon(self.relay.run)

    def _relay_inputs(self) -> RoutingRelayInputs:
        inputs = self._inputs
        return RoutingRelayInputs(
            node=inputs.membership.node,
            call=inputs.call,
            routes=inputs.routes,
            endpoint_list_state=self._held,
            endpoints=lambda: inputs.view.listed,
            replace_endpoints=self._take_endpoints,
            entries=lambda: tuple(usable_entries(inputs.membership)),
            seeds=inputs.seeds,
            is_store_unreachable=lambda: (
                self._configuration.is_store_unreachable
            ),
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
        self._list.replace_from_peer(endpoints)
        self._note_list()

    def _note_list(self) -> None:
        self._held.digest = digest_of(self._inputs.view.listed)
        self._note_change()

    def _confirm_list(self, requested_at: float) -> None:
        self._held.confirmed_at = max(self._held.confirmed_at, requested_at)

    def _take_configuration(self, page: RowPage, requested_at: float) -> None:
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._use_configuration(row.value, requested_at)

    def _use_configuration(self, payload: bytes, requested_at: float) -> None:
        decoded = decode_route_table(payload)
        if decoded.is_error():
            telemetry.count('configurations_unread')
            warn('configuration can not be read', detail=decoded.error)
        elif self._routes.accept_newer(decoded.ok, requested_at):
            note(
                'configuration in force',
                version=self._routes.version,
                source='store',
                routes=len(decoded.ok.routes),
                accounts=len(decoded.ok.accounts),
            )

    def _confirm(self, requested_at: float) -> None:
        self._routes.confirm(self._routes.version, requested_at)

    def _note_change(self) -> None:
        if self._held.version and self._routes.table is not None:
            self._complete.set()
        self.relay.notify_waiters()


def _make_follower(
    inputs: ReplicaInputs, followed: TableSubscription
) -> TableWatcher:
    return TableWatcher(
        store=inputs.store,
        followed=followed,
        clock=inputs.clock,
        randomness=inputs.randomness,
    )
