"""Keeps replicas of the route table and the endpoint list of the store."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.routing.relay_inputs import RoutingRelayInputs
from limpetdrift.coordination.routing.routing_merge import EndpointListState
from limpetdrift.coordination.routing.routing_relay import (
    RoutingRelay,
    max_retry_interval_seconds,
)
from limpetdrift.logs import note, warn
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpoint_sync import EndpointSync
from limpetdrift.platform.evacuation_rows import apply_evacuations
from limpetdrift.platform.store import RowPage, StoreClient, StoredRow
from limpetdrift.platform.table_watcher import TableSubscription, TableWatcher
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.registered import RegisteredNode
from limpetdrift.protocol.routing_sync import digest_of
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.evacuations import Evacuations
from limpetdrift.state.route_cache import NEVER, RouteTableCache
from limpetdrift.state.stored_configuration import StoredConfiguration
from limpetdrift.supervision import keep_running
from limpetdrift.transport.messages import Address

# The operators' rows: the configuration, and the evacuations.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
ENDPOINTS_TABLE = 'servers'
# The names of the tasks that read the configuration, from the store and peers.
CONFIGURATION_WATCHER = 'configuration-watcher'
ROUTING_RELAY = 'routing-relay'
# Interval at which the configuration is confirmed, as a share of the time
# within which a revoked key must be refused.
CONFIRMATION_INTERVAL_SHARE = 0.25
# If the last confirmation is older than this number of intervals, the next long
# poll has the short timeout below, so that it confirms at once.
_OVERDUE_INTERVALS = 2.2
_OVERDUE_LONG_POLL_SECONDS = 0.02
# Long-poll timeout of the endpoint list. The list has no staleness bound, so
# this only limits how long a poll without changes is kept open.
LIST_LONG_POLL_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True)
class ReplicaInputs:
    """The caches to keep up to date, the store, and the peers.

    ``entries`` returns all live entries, with this one, ``node``. ``seeds``
    returns addresses of peers, and ``read_registered`` reads more from the
    store. ``revoke_seconds`` is the time within which a revoked key must be
    refused.
    """

    store: StoreClient
    routes: RouteTableCache
    view: EndpointView
    node: Node
    entries: Callable[[], tuple[Node, ...]]
    call: PeerCall
    seeds: Callable[[], tuple[Address, ...]]
    read_registered: Callable[[], Awaitable[tuple[RegisteredNode, ...] | None]]
    clock: Callable[[], float]
    randomness: random.Random
    revoke_seconds: float


class StoreReplica:
    """Routes and endpoints, read from the store or from peers that read it."""

    def __init__(self, *, inputs: ReplicaInputs) -> None:
        self._inputs = inputs
        self._routes = inputs.routes
        self._list_state = EndpointListState()
        self._evacuations = Evacuations(
            view=inputs.view, on_change=self._on_change
        )
        self._stored = StoredConfiguration(
            routes=inputs.routes, store_era=inputs.store.era
        )
        self._synced = trio.Event()
        self._endpoint_sync = EndpointSync(
            view=inputs.view,
            outage_within=lambda seconds: self._endpoints_watcher.outage_within(
                seconds,
            ),
            on_drop=self._on_list_changed,
        )
        self.relay = RoutingRelay(inputs=self._relay_inputs())
        self._configuration_watcher = _make_watcher(
            inputs,
            TableSubscription(
                table=CONFIGURATION_TABLE,
                on_snapshot=partial(self._apply_operator_rows, is_whole=True),
                on_changes=self._apply_operator_rows,
                on_confirmed=self._stored.confirm,
                on_store_lost=self.relay.notify_waiters,
                is_enabled=lambda: self.relay.is_store_reader,
                wait_enabled=self.relay.wait_store_reader,
                long_poll_seconds=self._configuration_long_poll_seconds,
                max_retry_interval_seconds=lambda: max_retry_interval_seconds(
                    len(inputs.entries())
                ),
            ),
        )
        self._endpoints_watcher = _make_watcher(
            inputs,
            TableSubscription(
                table=ENDPOINTS_TABLE,
                on_snapshot=lambda page, at: self._apply_endpoint_rows(
                    partial(self._endpoint_sync.replace, era=page.era),
                    page,
                ),
                on_changes=lambda page, at: self._apply_endpoint_rows(
                    self._endpoint_sync.apply,
                    page,
                ),
                on_confirmed=self._list_state.confirm,
                on_store_lost=self.relay.notify_waiters,
                is_enabled=lambda: self.relay.is_store_reader,
                wait_enabled=self.relay.wait_store_reader,
                long_poll_seconds=lambda: LIST_LONG_POLL_SECONDS,
                max_retry_interval_seconds=lambda: max_retry_interval_seconds(
                    len(inputs.entries())
                ),
            ),
        )
        self.relay.on_growth.append(self._poll_again_for_others)
        inputs.routes.on_change.append(lambda table: self._on_change())
        inputs.routes.on_first_confirmation.append(self._on_change)
        inputs.store.era.on_rise.extend(
            (
                self._configuration_watcher.restart,
                self._endpoints_watcher.restart,
            )
        )

    @property
    def is_synced(self) -> bool:
        """Whether a route table and an endpoint list have been received.

        The table must have been confirmed too: until then all keys are refused.
        """
        return self._synced.is_set()

    async def wait_synced(self) -> None:
        """Wait for the first confirmed route table and endpoint list."""
        await self._synced.wait()

    async def run(self) -> None:
        """Keep the replicas up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            for name, run in (
                (CONFIGURATION_WATCHER, self._configuration_watcher.run),
                ('endpoint-list-watcher', self._endpoints_watcher.run),
                ('lapsed-endpoints', self._endpoint_sync.run),
                (ROUTING_RELAY, self.relay.run),
            ):
                nursery.start_soon(keep_running, name, run)

    def _relay_inputs(self) -> RoutingRelayInputs:
        inputs = self._inputs
        return RoutingRelayInputs(
            node=inputs.node,
            call=inputs.call,
            routes=inputs.routes,
            endpoint_list_state=self._list_state,
            evacuations=self._evacuations,
            endpoints=lambda: _list_with_cold_times(inputs.view),
            replace_endpoints=self._replace_endpoints,
            entries=inputs.entries,
            seeds=inputs.seeds,
            read_registered=inputs.read_registered,
            is_store_unreachable=lambda: (
                self._configuration_watcher.is_store_unreachable
            ),
            is_store_behind=lambda: (
                self.relay.is_store_reader and self._stored.is_behind
            ),
            store_era=inputs.store.era,
            clock=inputs.clock,
            randomness=inputs.randomness,
            revoke_seconds=inputs.revoke_seconds,
        )

    def _poll_again_for_others(self) -> None:
        """Confirm the configuration as often as other entries now need it.

        With the data of a longer poll under way this reader would seem stale.
        """
        if self.relay.is_store_reader:
            self._configuration_watcher.poll_again()

    def _configuration_long_poll_seconds(self) -> float:
        """Return the long-poll timeout of the configuration.

        It is short after the process was paused or partitioned: then the
        configuration is confirmed at once, since all keys are refused until
        it is. There is nothing to hurry for while the store is behind, or a
        peer is yet to be polled, nor before the operator's first one.
        """
        interval = self._inputs.revoke_seconds * CONFIRMATION_INTERVAL_SHARE
        age_seconds = self._routes.age_seconds()
        is_overdue = (
            self._routes.table is not None
            and age_seconds > interval * _OVERDUE_INTERVALS
        )
        if is_overdue and not self._stored.is_confirmation_blocked:
            return _OVERDUE_LONG_POLL_SECONDS
        return self.relay.long_poll_seconds or interval

    def _apply_endpoint_rows(
        self,
        apply: Callable[[tuple[StoredRow, ...]], None],
        page: RowPage,
    ) -> None:
        apply(page.rows)
        self._list_state.move_to(page.era, page.version)
        self._on_list_changed()

    def _replace_endpoints(self, endpoints: tuple[ListedEndpoint, ...]) -> None:
        self._endpoint_sync.replace_from_peer(endpoints, self._list_state.era)
        self._on_list_changed()

    def _on_list_changed(self) -> None:
        self._list_state.digest = digest_of(self._inputs.view.listed)
        self._on_change()

    def _apply_operator_rows(
        self, page: RowPage, requested_at: float, *, is_whole: bool = False
    ) -> None:
        """Apply the whole table of the operators, or its changed rows."""
        apply_evacuations(self._evacuations, page, is_whole=is_whole)
        self._stored.begin_era(page.era)
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._apply_configuration(row.value, requested_at)

    def _apply_configuration(self, payload: bytes, requested_at: float) -> None:
        decoded = decode_route_table(payload)
        if decoded.is_error():
            self._stored.reject()
            telemetry.count('configurations_unread')
            warn('configuration can not be read', detail=decoded.error)
        elif self._stored.accept(decoded.ok, requested_at):
            note(
                'configuration in force',
                version=self._routes.version,
                era=self._routes.era,
                source='store',
                routes=len(decoded.ok.routes),
                accounts=len(decoded.ok.accounts),
            )

    def _on_change(self) -> None:
        if self._list_state.version and self._routes.confirmed_at > NEVER:
            self._synced.set()
        self.relay.notify_waiters()


def _list_with_cold_times(view: EndpointView) -> tuple[ListedEndpoint, ...]:
    """Return the list with the remaining cold times as of now."""
    seconds = view.limits.cold.list_now(view.listed)
    return tuple(
        replace(each, cold_seconds=seconds.get(each.identity, 0.0))
        if each.cold_seconds or each.identity in seconds
        else each
        for each in view.listed
    )


def _make_watcher(
    inputs: ReplicaInputs, subscription: TableSubscription
) -> TableWatcher:
    return TableWatcher(
        store=inputs.store,
        subscription=subscription,
        clock=inputs.clock,
        randomness=inputs.randomness,
    )
