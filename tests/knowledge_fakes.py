"""A store's table in memory, and entries that relay routing data."""

import random
from collections.abc import Callable

import trio
from expression import Error, Ok, Result

from fake_network import FakeNetwork
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.routing.relay_inputs import RoutingRelayInputs
from limpetdrift.coordination.routing.routing_merge import EndpointListState
from limpetdrift.coordination.routing.routing_relay import RoutingRelay
from limpetdrift.platform.store import RowPage, StoredRow
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import digest_of
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.evacuations import Evacuations
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.state.store_era import StoreEra
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure, Reason, not_run


class FakeStore:
    """One table with a change feed, which can fail or be truncated."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.history: list[StoredRow] = []
        self.version = 1
        self.era = 1
        self.oldest_version = 0
        self.failure: Failure | None = None
        self.calls = 0
        self._changed = trio.Event()

    def put(self, key: str, content: bytes | None) -> None:
        self.version += 1
        row = StoredRow(key=key, version=self.version, value=content)
        self.history.append(row)
        if content is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self._changed.set()
        self._changed = trio.Event()

    def truncate_changelog(self) -> None:
        self.oldest_version = self.version

    async def read(
        self,
        table: str,
        *,
        start: str = '',
    ) -> Result[RowPage, Failure]:
        self.calls += 1
        await trio.sleep(0.005)
        if self.failure is not None:
            return Error(self.failure)
        rows = tuple(self.rows[key] for key in sorted(self.rows))
        return Ok(RowPage(rows=rows, version=self.version, era=self.era))

    async def poll_changes(
        self,
        table: str,
        after_version: int,
        long_poll_seconds: float,
    ) -> Result[RowPage, Failure]:
        self.calls += 1
        with trio.move_on_after(long_poll_seconds):
            while self.failure is None and self.version <= after_version:
                await self._changed.wait()
        if self.failure is not None:
            return Error(self.failure)
        if after_version < self.oldest_version:
            return Error(not_run(Reason.CONFLICT))
        changes = tuple(
            row for row in self.history if row.version > after_version
        )
        return Ok(RowPage(rows=changes, version=self.version, era=self.era))


async def read_no_rows():
    """Read the rows of entries where none has registered."""
    return ()


class RelayEntry:
    """One entry with a relay; ``read`` stands for its reads of the store."""

    def __init__(
        self,
        number: int,
        network: FakeNetwork,
        entries: Callable[[], tuple[Node, ...]],
        failure_domain: str = 'd',
    ) -> None:
        address = Address(host=f'10.0.0.{number}', port=1)
        self.node = Node(
            name=f'e{number}',
            incarnation=number,
            role=Role.ENTRY,
            region='r',
            failure_domain=failure_domain,
            caller_address=address,
            peer_address=address,
        )
        self.is_store_unreachable = False
        self.store_era = StoreEra()
        self.routes = RouteTableCache(clock=trio.current_time)
        self.endpoint_list_state = EndpointListState()
        self.view = EndpointView(clock=trio.current_time)
        self.evacuations = Evacuations(view=self.view, on_change=bool)
        self.endpoints: tuple[ListedEndpoint, ...] = ()
        self.peer_routes = PeerRoutes()
        self.relay = RoutingRelay(
            inputs=RoutingRelayInputs(
                node=self.node,
                call=network.add_peer(address, self.peer_routes),
                routes=self.routes,
                endpoint_list_state=self.endpoint_list_state,
                evacuations=self.evacuations,
                endpoints=lambda: self.endpoints,
                replace_endpoints=self._replace_endpoints,
                entries=entries,
                seeds=tuple,
                read_registered=read_no_rows,
                is_store_unreachable=lambda: self.is_store_unreachable,
                is_store_behind=bool,
                store_era=self.store_era,
                clock=trio.current_time,
                randomness=random.Random(number),
                revoke_seconds=5.0,
            ),
        )
        self.routes.on_change.append(lambda table: self.relay.notify_waiters())
        self.relay.register(self.peer_routes)

    def read(self, table: RouteTable) -> None:
        """Apply a route table as if it was read from the store now."""
        self.routes.accept_newer(
            table, trio.current_time(), self.store_era.known
        )

    def _replace_endpoints(self, endpoints: tuple[ListedEndpoint, ...]) -> None:
        self.endpoints = endpoints
        self.endpoint_list_state.digest = digest_of(endpoints)
