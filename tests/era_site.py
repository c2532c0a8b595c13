"""Entries that read one stand-in store and relay to each other, no sockets."""

import base64
import json
import random

import trio
from expression import Error

from fake_network import FakeNetwork
from limpet_standins.local import call_local
from limpet_standins.platform_store import StandinStore
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.platform.registration import (
    Registration,
    RegistrationInputs,
)
from limpetdrift.platform.store import StoreClient
from limpetdrift.platform.store_replica import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    ENDPOINTS_TABLE,
    ReplicaInputs,
    StoreReplica,
)
from limpetdrift.protocol.node import Node, Role
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, may_have_run, not_run

STORE_ADDRESS = Address(host='10.1.0.1', port=1)
STORE_LATENCY_SECONDS = 0.004
REVOKE_SECONDS = 5.0


class LocalClient:
    """Calls the stand-in store without sockets; can be cut off from it."""

    def __init__(self, store: StandinStore) -> None:
        self.is_cut = False
        self.calls: list[str] = []
        self._routes = store.make_routes()

    async def fetch(self, address, request, *, timeout_seconds):
        self.calls.append(request.path)
        await trio.sleep(STORE_LATENCY_SECONDS)
        if self.is_cut:
            return Error(not_run(Reason.CONNECT_FAILED, 'cut off'))
        with trio.move_on_after(timeout_seconds):
            result = await call_local(self, request)
            if not self.is_cut:
                return result
        return Error(may_have_run(Reason.TIMEOUT, 'cut off'))

    async def handle(self, exchange):
        await self._routes.handle(exchange)


class EraEntry:
    """One entry's replicas of the store, with its own client."""

    def __init__(self, number, site, lifetime=0) -> None:
        address = Address(host=f'10.0.0.{number}', port=1)
        self.node = Node(
            name=f'e{number}.{lifetime}' if lifetime else f'e{number}',
            incarnation=number + lifetime,
            role=Role.ENTRY,
            region='r',
            failure_domain='d',
            caller_address=address,
            peer_address=address,
        )
        self.client = LocalClient(site.store)
        self.store = StoreClient(client=self.client, address=STORE_ADDRESS)
        self.routes = RouteTableCache(clock=trio.current_time)
        self.view = EndpointView(clock=trio.current_time)
        self.registration = site.make_registration(self)
        self.tasks = ()
        self.scope = None
        peer_routes = PeerRoutes()
        self.replica = StoreReplica(
            inputs=ReplicaInputs(
                store=self.store,
                routes=self.routes,
                view=self.view,
                node=self.node,
                entries=lambda: site.nodes_known_to(self),
                call=site.network.add_peer(address, peer_routes),
                seeds=self.registration.seeds,
                read_registered=self.registration.read,
                clock=trio.current_time,
                randomness=random.Random(number),
                revoke_seconds=REVOKE_SECONDS,
            ),
        )
        self.replica.relay.register(peer_routes)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            nursery.start_soon(self.replica.run)
            for task in self.tasks:
                nursery.start_soon(task)

    def usable(self) -> list[str]:
        return [each.name for each in self.view.usable('s')]

    def keys(self) -> set[str]:
        table = self.routes.table
        return {key for each in table.accounts for key in each.keys}


class EraSite:
    """A store, its operator and servers, and entries that follow it."""

    def __init__(self, count: int) -> None:
        self.store = StandinStore()
        self.network = FakeNetwork(seed=1)
        self.nodes = ()
        self.nursery = None
        self.count = count
        self.entries = [EraEntry(number, self) for number in range(count)]
        self.nodes = tuple(entry.node for entry in self.entries)

    def start(self, nursery) -> None:
        self.nursery = nursery
        for entry in self.entries:
            nursery.start_soon(entry.run)

    def nodes_known_to(self, entry) -> tuple[Node, ...]:
        return self.nodes

    def make_registration(self, entry) -> Registration:
        """Return a registration that is not run; its seeds are all nodes."""
        return make_registration(
            entry,
            seeds=tuple(
                Address(host=f'10.0.0.{number}', port=1)
                for number in range(self.count)
            ),
            count_peers=lambda: self.count,
        )

    def add_entry(self) -> EraEntry:
        entry = EraEntry(len(self.entries), self)
        self.entries.append(entry)
        self.nodes = (*self.nodes, entry.node)
        self.nursery.start_soon(entry.run)
        return entry

    def write_configuration(self, version: int, *keys: str) -> None:
        """Write a configuration in which only these keys are accepted."""
        self.store.put(
            CONFIGURATION_TABLE,
            CONFIGURATION_KEY,
            {
                'version': version,
                'tenants': [{'name': 'acme', 'apiKeys': list(keys)}],
            },
        )

    def write_endpoint(
        self, name: str, born: int = 1, state='ready', **others: object
    ) -> None:
        self.store.put(
            ENDPOINTS_TABLE,
            name,
            {
                'service': 's',
                'address': '10.2.0.1:80',
                'zone': 'd',
                'slots': 8,
                'state': state,
                'born': born,
                **others,
            },
        )

    def drop_endpoint(self, name: str) -> None:
        self.store.delete(ENDPOINTS_TABLE, name)

    def stored_configuration(self) -> dict:
        """Return the configuration that the store shows, or an empty one."""
        rows = self.store.rows.read(CONFIGURATION_TABLE)
        if not rows:
            return {'version': 0, 'tenants': [{'apiKeys': ['']}]}
        return json.loads(base64.b64decode(rows[0].text))

    def stored_version(self) -> int:
        return self.stored_configuration()['version']

    def stored_key(self) -> str:
        return self.stored_configuration()['tenants'][0]['apiKeys'][0]

    def return_to(self, copy) -> None:
        self.store.rows.return_to(copy)


def make_registration(entry, *, seeds, count_peers) -> Registration:
    return Registration(
        inputs=RegistrationInputs(
            store=entry.store,
            node=entry.node,
            configuration_version=lambda: entry.routes.version,
            count_peers=count_peers,
            join=trio.lowlevel.checkpoint,
            is_assigned=lambda: True,
            randomness=random.Random(entry.node.incarnation),
        ),
        seeds=seeds,
    )
