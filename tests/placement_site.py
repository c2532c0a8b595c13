"""Builds a site of entries and engine models in memory, for tests."""

import random

from engine_model import EngineModel, make_management_calls
from fake_network import FakeNetwork
from limpetdrift.coordination.homes.candidate_selection import ProbeState
from limpetdrift.coordination.homes.home import HomeServer
from limpetdrift.coordination.homes.placer import Placer, PlacerInputs
from limpetdrift.coordination.homes.policies import POLICIES
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.state.prefixes import PrefixEndpoints
from limpetdrift.transport.messages import Address

DOMAINS = ('north', 'south', 'west')


class Site:
    """Entries with their homes and placers, and the engines that they use.

    ``engine_options`` are passed to each ``EngineModel``.
    """

    def __init__(
        self, *, entries, engines, policy='slack', seed=1, **engine_options
    ):
        self.network = FakeNetwork(seed=seed)
        self.nodes = [make_node(number) for number in range(entries)]
        self.endpoints = [make_endpoint(number) for number in range(engines)]
        self.engines = {
            each.address: EngineModel(**engine_options)
            for each in self.endpoints
        }
        self.reports = self.reports_over(self.engines)
        self.homes = []
        self.placers = []
        for number, node in enumerate(self.nodes):
            home = HomeServer(policy=POLICIES[policy], reports=self.reports)
            routes = PeerRoutes()
            home.register(routes)
            inputs = PlacerInputs(
                node=node,
                live_entries=self.live,
                endpoints=self.listed,
                call=self.network.add_peer(node.peer_address, routes),
            )
            state = ProbeState(
                randomness=random.Random(seed * 1000 + number),
                prefix_endpoints=PrefixEndpoints(),
            )
            self.homes.append(home)
            self.placers.append(Placer(inputs=inputs, home=home, state=state))

    def reports_over(self, engines):
        return make_management_calls(engines)

    def live(self):
        return tuple(self.nodes)

    def listed(self):
        return tuple(self.endpoints)

    def start(self, nursery):
        for engine in self.engines.values():
            nursery.start_soon(engine.serve)
        for home in self.homes:
            nursery.start_soon(home.run)
        for placer in self.placers:
            nursery.start_soon(placer.run)


def make_node(number):
    return Node(
        name=f'entry-{number}',
        incarnation=1,
        role=Role.ENTRY,
        region='r',
        failure_domain=DOMAINS[number % len(DOMAINS)],
        caller_address=Address(host='127.0.0.1', port=2000 + number),
        peer_address=Address(host='127.0.0.1', port=3000 + number),
    )


def make_endpoint(number):
    return Endpoint(
        name=f'engine-{number}',
        role=Role.ENGINE,
        address=Address(host='127.0.0.1', port=4000 + number),
        failure_domain=DOMAINS[number % len(DOMAINS)],
        model='m',
    )


def make_request(key, *, prompt_tokens=1000, **fields):
    defaults = {
        'attempt': 1,
        'account': 'a',
        'model': 'm',
        'max_tokens': 100,
        'urgency': 0,
        'deadline_in_seconds': 60.0,
    }
    return PlacementRequest(
        request_key=str(key),
        prompt_tokens=prompt_tokens,
        **{**defaults, **fields},
    )
