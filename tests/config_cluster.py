"""A cluster of entries with configuration, on fakes and with faults.

Each entry has its own clock, connection to the store and instance list, so
that a single one can be frozen, cut off from the store, or isolated.
"""

import functools
import random

import trio
from expression import Result

from fake_network import FakeNetwork
from fake_table import FakeTable
from limpetdrift.coordination.configuration.config_confirmation import (
    ClusterView,
    PeerReachability,
)
from limpetdrift.coordination.configuration.configuration import (
    ConfigurationManager,
)
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.protocol.configuration import Refusal
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.table import TableCalls
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, may_have_run, not_run

IN_FORCE_SECONDS = 5.0
UNRESPONSIVE_AFTER_SECONDS = 1.0
SAMPLE_SECONDS = 0.1
_REFUSALS_WITHOUT_EFFECT = (
    Refusal.INVALID,
    Refusal.CONFLICT,
    Refusal.UNAVAILABLE,
)


def make_node(number):
    return Node(
        name=f'entry-{number}',
        incarnation=1,
        role=Role.ENTRY,
        region='r',
        failure_domain='d1',
        caller_address=Address(host='127.0.0.1', port=1000 + number),
        peer_address=Address(host='127.0.0.1', port=2000 + number),
    )


class Entry:
    """One entry of the cluster, and its current faults."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.node = make_node(number)
        self.scope = trio.CancelScope()
        self.nursery = cluster.nursery
        self.frozen_at = None
        self.thawed = trio.Event()
        self.thawed.set()
        self.store_cut = False
        self.isolated = False
        self.last_contact_at = {}
        self.highest_versions = {}
        routes = PeerRoutes()
        call = cluster.network.add_peer(self.node.peer_address, routes)
        self.manager = ConfigurationManager(
            node=self.node,
            calls=self.table_calls(),
            peer_call=call,
            cluster=ClusterView(
                others=self.others,
                contacts=self.contacts,
                list_reachable=self.is_list_reachable,
                is_poller=self.is_poller,
            ),
            randomness=random.Random(number),
            now=self.now,
        )
        self.manager.register(routes)

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                await self.manager.run()

    @property
    def admits(self):
        return self.frozen_at is None and self.manager.check_admission().is_ok()

    def now(self):
        return trio.current_time() if self.frozen_at is None else self.frozen_at

    def is_list_reachable(self):
        return not (self.isolated or self.cluster.list_down)

    def others(self):
        names = sorted(self.cluster.started_names - {self.node.name})
        return tuple(make_node(int(name.split('-')[1])) for name in names)

    def is_poller(self):
        return self.node.name in sorted(self.cluster.entries)[:2]

    def contacts(self):
        now = trio.current_time()
        alive = self.cluster.entries.keys() - {self.node.name}
        for peer in map(self.cluster.entries.get, alive):
            if self.reaches(peer):
                self.last_contact_at[peer.node.name] = now
        silent = sum(
            now - self.last_contact_at.setdefault(name, now)
            >= UNRESPONSIVE_AFTER_SECONDS
            for name in alive
        )
        return PeerReachability(answering=len(alive) - silent, silent=silent)

    def reaches(self, peer):
        return not (
            self.isolated or peer.isolated or peer.frozen_at is not None
        )

    def table_calls(self):
        calls = self.cluster.table.calls()

        def with_faults(call, unreachable):
            @functools.wraps(call)
            async def call_with_faults(message):
                await self.thawed.wait()
                if self.store_cut or self.isolated:
                    await trio.sleep(0.5)
                    failure = unreachable(Reason.TIMEOUT, 'table')
                    return Result.Error(failure)
                answer = await call(message)
                await self.thawed.wait()
                return answer

            return call_with_faults

        return TableCalls(
            transact=with_faults(calls.transact, may_have_run),
            batch=with_faults(calls.batch, may_have_run),
            read=with_faults(calls.read, not_run),
            scan=with_faults(calls.scan, not_run),
        )


class Cluster:
    """Entries, store and network, and checks of the invariants.

    Versions in force only grow. No entry holds a rejected change. An accepted
    change is in force at each entry that admits requests, after
    ``IN_FORCE_SECONDS``. ``started_names`` also holds the entries that ended.
    """

    def __init__(self, nursery, size, seed=1):
        self.nursery = nursery
        self.network = FakeNetwork(seed=seed)
        self.table = FakeTable()
        self.list_down = False
        self.entries = {}
        self.started_names = set()
        self.accepted = []
        self.rejected = set()
        self.outcomes = {}
        for number in range(size):
            self.start(number)

    def start(self, number):
        entry = Entry(self, number)
        self.entries[entry.node.name] = entry
        self.started_names.add(entry.node.name)
        self.nursery.start_soon(entry.run)
        return entry

    def kill(self, entry):
        entry.scope.cancel()
        entry.thawed.set()
        self.network.kill(entry.node.peer_address)
        self.entries.pop(entry.node.name, None)

    def freeze(self, entry):
        if entry.frozen_at is None:
            entry.frozen_at = trio.current_time()
            entry.thawed = trio.Event()
            self.network.freeze(entry.node.peer_address)

    def thaw(self, entry):
        if entry.frozen_at is not None:
            entry.frozen_at = None
            entry.thawed.set()
            self.network.thaw(entry.node.peer_address)

    def isolate(self, entry):
        entry.isolated = True
        self.network.isolate(entry.node.peer_address)

    def heal(self):
        self.network.heal()
        for entry in self.entries.values():
            entry.isolated = False
            entry.store_cut = False

    async def apply(self, entry, change):
        """Apply a change at an entry, and record the result."""
        outcome = await entry.manager.apply(change)
        self.outcomes[change.change_id] = outcome
        if outcome.is_error():
            if outcome.error.refusal in _REFUSALS_WITHOUT_EFFECT:
                self.rejected.add(change.change_id)
            return
        self.accepted.append((trio.current_time(), outcome.ok.versions))

    async def watch(self):
        """Check the invariants every ``SAMPLE_SECONDS``."""
        while True:
            self.check()
            await trio.sleep(SAMPLE_SECONDS)

    def check(self):
        for entry in self.entries.values():
            self.check_versions_only_grow(entry)
            self.check_no_rejected_change(entry)
            if entry.admits:
                self.check_in_force(entry)

    def check_versions_only_grow(self, entry):
        for site in entry.manager.replica.sites:
            highest = entry.highest_versions.get(site.site, (0, 0))
            assert site.base >= highest[0], (entry.node.name, site, highest)
            assert site.overlay >= highest[1], (entry.node.name, site, highest)
            entry.highest_versions[site.site] = (site.base, site.overlay)

    def check_no_rejected_change(self, entry):
        for document in entry.manager.replica.documents.values():
            change_ids = {each.change_id for each in document.history}
            assert not change_ids & self.rejected

    def check_in_force(self, entry):
        in_force = {
            site.site: {'base': site.base, f'site/{site.site}': site.overlay}
            for site in entry.manager.replica.sites
        }
        due = trio.current_time() - IN_FORCE_SECONDS
        for accepted_at, versions in self.accepted:
            if accepted_at > due:
                continue
            for name, version in versions.items():
                found = [
                    each[name] for each in in_force.values() if name in each
                ]
                assert found, (entry.node.name, name)
                assert min(found) >= version, (entry.node.name, name, version)


async def run_cluster(size, scenario, seed=1):
    """Run a scenario while the invariants are checked."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, size, seed)
        nursery.start_soon(cluster.watch)
        await trio.sleep(SAMPLE_SECONDS)
        await scenario(cluster)
        cluster.check()
        nursery.cancel_scope.cancel()
