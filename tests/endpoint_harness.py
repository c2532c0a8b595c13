"""A harness of entries whose directories read a delayed instance list."""

import random

import trio
from expression import Error, Ok

from limpetdrift.coordination.homes.endpoint_directory import (
    EndpointDirectory,
    EndpointInputs,
    LeavingSource,
)
from limpetdrift.protocol.gossip import ListingState
from limpetdrift.protocol.instances import InstanceList, InstanceListItem
from limpetdrift.protocol.lifecycle_reports import LifecycleReport
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, not_run
from member_cluster import Cluster

# Time after the first leaving signal by which no entry may route to the
# endpoint.
LEAVING_DEADLINE_SECONDS = 3.0
LIST_LAG_SECONDS = 30.0
REPORT_LAG_SECONDS = 1.0
# A signal counts as lost if the only entry that got it dies within this time.
SIGNAL_SPREAD_SECONDS = 0.5


def make_endpoint(index, role=Role.ENGINE):
    domain = index % 3
    return Endpoint(
        name=f'{role}-{index}',
        role=role,
        address=Address(host='10.99.0.1', port=9000 + index),
        failure_domain=f'kiambu-domain-{domain}',
        model='drift-small',
    )


class FakeEndpoint:
    """The true state of one endpoint."""

    def __init__(self, *, endpoint):
        self.endpoint = endpoint
        self.incarnation = 1
        self.started_at = trio.current_time()
        self.leaving_since = None
        self.listed = ListingState.LIVE

    def restart(self):
        self.incarnation += 1
        self.started_at = trio.current_time()
        self.leaving_since = None
        self.listed = ListingState.LIVE


def make_fake_endpoints(role, count):
    endpoints = [make_endpoint(index, role) for index in range(count)]
    return {each.name: FakeEndpoint(endpoint=each) for each in endpoints}


class EndpointHarness:
    """Fake endpoints, the delayed list of them, and a cluster of entries.

    The list shows each state ``lag`` seconds late. ``leaving_signals`` holds
    for each endpoint's name and incarnation when and by which node the first
    leaving signal was received.
    """

    def __init__(
        self, *, nursery, seed=1, engines=3, services=0, lag=LIST_LAG_SECONDS
    ):
        self.cluster = Cluster(nursery=nursery, seed=seed, extend=self._extend)
        self.network = self.cluster.network
        engines_by_name = make_fake_endpoints(Role.ENGINE, engines)
        services_by_name = make_fake_endpoints(Role.SERVICE, services)
        self.fake_endpoints = {**engines_by_name, **services_by_name}
        self.lag = lag
        self.list_down = False
        self.directories = {}
        self.leaving_signals = {}
        self._history = []
        self._randomness = random.Random(seed)
        self.publish()

    def publish(self):
        """Publish the true states, which the list shows ``lag`` later."""
        listed = tuple(
            (
                InstanceListItem(
                    endpoint=fake.endpoint,
                    listed=fake.listed,
                ),
                fake.incarnation,
            )
            for fake in self.fake_endpoints.values()
            if fake.listed is not ListingState.ABSENT
        )
        self._history.append((trio.current_time(), listed))

    def record_leaving_signal(self, member, name, incarnation):
        """Record when an entry first gets a signal that an endpoint leaves."""
        key = (name, incarnation)
        if key not in self.leaving_signals:
            self.leaving_signals[key] = (trio.current_time(), member.node)

    def signal_leaving(self, member, name, source=LeavingSource.OPERATOR):
        """Send a leaving signal to one entry."""
        self.record_leaving_signal(
            member, name, self.fake_endpoints[name].incarnation
        )
        self.directories[member.node].mark_leaving(name, source)

    def kill(self, index):
        """Kill an entry, and drop signals that only this entry can have."""
        node = self.cluster.kill(index).node
        self.directories.pop(node)
        recent = trio.current_time() - SIGNAL_SPREAD_SECONDS
        for key, (at, receiver) in list(self.leaving_signals.items()):
            if receiver == node and at > recent:
                self.leaving_signals.pop(key)

    def routable_endpoints(self, node):
        """Return the names of the endpoints to which an entry sends work."""
        return {
            endpoint.name
            for endpoint in self.directories[node].endpoints()
            if not endpoint.leaving
        }

    def overdue_endpoints(self):
        """Return the entries that still route to endpoints known to leave.

        Each comes with the names of endpoints whose first signal is more than
        ``LEAVING_DEADLINE_SECONDS`` old.
        """
        latest = trio.current_time() - LEAVING_DEADLINE_SECONDS
        late = set()
        for name, fake in self.fake_endpoints.items():
            signal = self.leaving_signals.get((name, fake.incarnation))
            if signal is not None and signal[0] < latest:
                late.add(name)
        return [
            (node.name, late & self.routable_endpoints(node))
            for node, started in self._started()
            if started < latest and late & self.routable_endpoints(node)
        ]

    def _started(self):
        return [
            (node, directory.started)
            for node, directory in self.directories.items()
        ]

    def _extend(self, membership):
        async def read_list():
            await trio.sleep(0.002)
            if self.list_down:
                return Error(not_run(Reason.CONNECT_FAILED))
            return Ok(self._read(membership))

        async def read_report(endpoint):
            await trio.sleep(0.002)
            return Ok(self._report(membership, endpoint))

        endpoints = TimedDirectory(
            membership=membership,
            randomness=random.Random(self._randomness.random()),
            inputs=EndpointInputs(
                read_list=read_list,
                read_report=read_report,
                static=tuple(
                    fake.endpoint for fake in self.fake_endpoints.values()
                ),
            ),
        )
        self.directories[membership.node] = endpoints
        return endpoints.run

    def _read(self, membership):
        horizon = trio.current_time() - self.lag
        past = [shown for at, shown in self._history if at <= horizon]
        listed = past[-1] if past else self._history[0][1]
        for each, incarnation in listed:
            if each.listed is ListingState.LEAVING:
                self.record_leaving_signal(
                    membership, each.endpoint.name, incarnation
                )
        return InstanceList(
            endpoints=tuple(line for line, _ in listed),
            age_seconds=self.lag,
        )

    def _report(self, membership, endpoint):
        fake = self.fake_endpoints[endpoint.name]
        visible_until = trio.current_time() - REPORT_LAG_SECONDS
        since = fake.leaving_since
        leaving = since is not None and since <= visible_until
        if leaving:
            self.record_leaving_signal(
                membership, endpoint.name, fake.incarnation
            )
        incarnation = fake.incarnation
        if endpoint.role is Role.SERVICE:
            incarnation = 0
        return LifecycleReport(
            leaving=leaving,
            incarnation=incarnation,
            uptime_seconds=trio.current_time() - fake.started_at,
        )


class TimedDirectory(EndpointDirectory):
    """The directory under test, with the time at which its entry started."""

    def __init__(self, **inputs):
        self.started = trio.current_time()
        super().__init__(**inputs)
