"""Entries with a view of endpoints, before a list that lags."""

import random

import trio
from expression import Error, Ok

from limpetdrift.coordination.endpoint_directory import (
    EndpointDirectory,
    EndpointInputs,
    LeavingSource,
)
from limpetdrift.protocol.gossip import ListingState
from limpetdrift.protocol.instances import InstanceList, InstanceListItem
from limpetdrift.protocol.lifecycle_reports import LifecycleReport
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.verdict import Reason, not_run
from limpetdrift.transport.messages import Address
from member_cluster import Cluster

PROMISED_SECONDS = 3.0
LIST_LAG_SECONDS = 30.0
REPORT_LAG_SECONDS = 1.0
# A sign whose only hearer dies within this time never was in the system.
HEARD_SECONDS = 0.5


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
    """One endpoint as it really is."""

    def __init__(self, *, endpoint):
        self.endpoint = endpoint
        self.incarnation = 1
        self.leaving_since = None
        self.listed = ListingState.LIVE

    def restart(self):
        self.incarnation += 1
        self.leaving_since = None
        self.listed = ListingState.LIVE


def make_fake_endpoints(role, count):
    endpoints = [make_endpoint(index, role) for index in range(count)]
    return {each.name: FakeEndpoint(endpoint=each) for each in endpoints}


class EndpointHarness:
    """The endpoints, the list of them, and the entries that watch."""

    def __init__(
        self, *, nursery, seed=1, engines=3, services=0, lag=LIST_LAG_SECONDS
    ):
        self.cluster = Cluster(nursery=nursery, seed=seed, extend=self._extend)
        self.network = self.cluster.network
        engine_servers = make_fake_endpoints(Role.ENGINE, engines)
        service_servers = make_fake_endpoints(Role.SERVICE, services)
        self.fake_endpoints = {**engine_servers, **service_servers}
        self.lag = lag
        self.list_down = False
        self.views = {}
        self.leaving_signals = {}
        self._history = []
        self._random = random.Random(seed)
        self.publish()

    def publish(self):
        """Put the truth into the list; it shows one lag later."""
        listed = tuple(
            (
                InstanceListItem(
                    endpoint=server.endpoint,
                    listed=server.listed,
                ),
                server.incarnation,
            )
            for server in self.fake_endpoints.values()
            if server.listed is not ListingState.ABSENT
        )
        self._history.append((trio.current_time(), listed))

    def record_leaving_signal(self, member, name, incarnation):
        """Remember when an entry first heard that an endpoint leaves."""
        key = (name, incarnation)
        if key not in self.leaving_signals:
            self.leaving_signals[key] = (trio.current_time(), member.node)

    def signal_leaving(self, member, name, source=LeavingSource.OPERATOR):
        """Give a sign to one entry."""
        self.record_leaving_signal(
            member, name, self.fake_endpoints[name].incarnation
        )
        self.views[member.node].mark_leaving(name, source)

    def kill(self, index):
        """Kill an entry, and forget the signs that it alone can know."""
        node = self.cluster.kill(index).node
        self.views.pop(node)
        recent = trio.current_time() - HEARD_SECONDS
        for key, (at, hearer) in list(self.leaving_signals.items()):
            if hearer == node and at > recent:
                self.leaving_signals.pop(key)

    def routable_endpoints(self, node):
        """The names of the endpoints that an entry would give work to."""
        return {
            endpoint.name
            for endpoint in self.views[node].endpoints()
            if not endpoint.leaving
        }

    def overdue_endpoints(self):
        """Which entries still offer what should have stopped by now."""
        latest = trio.current_time() - PROMISED_SECONDS
        late = set()
        for name, server in self.fake_endpoints.items():
            sign = self.leaving_signals.get((name, server.incarnation))
            if sign is not None and sign[0] < latest:
                late.add(name)
        return [
            (node.name, late & self.routable_endpoints(node))
            for node, started in self._started()
            if started < latest and late & self.routable_endpoints(node)
        ]

    def _started(self):
        return [(node, view.started) for node, view in self.views.items()]

    def _extend(self, membership):
        async def read_list():
            await trio.sleep(0.002)
            if self.list_down:
                return Error(not_run(Reason.CONNECT_FAILED))
            return Ok(self._read(membership))

        async def read_report(endpoint):
            await trio.sleep(0.002)
            return Ok(self._report(membership, endpoint))

        endpoints = View(
            membership=membership,
            random=random.Random(self._random.random()),
            inputs=EndpointInputs(
                read_list=read_list,
                read_report=read_report,
                static=tuple(
                    server.endpoint for server in self.fake_endpoints.values()
                ),
            ),
        )
        self.views[membership.node] = endpoints
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
        server = self.fake_endpoints[endpoint.name]
        seen_until = trio.current_time() - REPORT_LAG_SECONDS
        since = server.leaving_since
        leaving = since is not None and since <= seen_until
        if leaving:
            self.record_leaving_signal(
                membership, endpoint.name, server.incarnation
            )
        incarnation = server.incarnation
        if endpoint.role is Role.SERVICE:
            incarnation = 0
        return LifecycleReport(leaving=leaving, incarnation=incarnation)


class View(EndpointDirectory):
    """The view under test, and when its entry began."""

    def __init__(self, **inputs):
        self.started = trio.current_time()
        super().__init__(**inputs)
