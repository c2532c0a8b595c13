"""Joins what an entry believes of its site: members and configuration."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from expression import Error, Ok, Result

from limpetdrift.callers.chat import ReadSite
from limpetdrift.coordination.config_confirmation import (
    ClusterView,
    PeerReachability,
)
from limpetdrift.coordination.configuration import (
    POLLERS,
    ConfigurationManager,
)
from limpetdrift.coordination.endpoint_directory import (
    EndpointDirectory,
    EndpointInputs,
)
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.programs.serving import Task
from limpetdrift.programs.settings_file import load_settings_or_exit
from limpetdrift.programs.store_wiring import StoreParts
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.instances import (
    InstanceList,
    ReadList,
    make_list_call,
)
from limpetdrift.protocol.lifecycle_reports import make_report_call
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.settings import EntrySettings
from limpetdrift.state.site import SiteConfig
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address

UNCONFIRMED_RETRY_AFTER_SECONDS = 1.0
CONFIGURATION_DUTY = 'configuration-poll'


@dataclass(frozen=True, kw_only=True)
class SiteView:
    """What this entry believes of the site around it.

    Each is a function, since beliefs change while requests run.
    ``may_admit`` refuses while the configuration here is in doubt.
    """

    node: Node
    membership: Membership
    endpoints: EndpointDirectory
    read_site: ReadSite
    check_admission: Callable[[], Result[None, Failure]]
    keeper: ConfigurationManager | None = None
    tasks: tuple[Task, ...] = ()

    def live_entries(self) -> tuple[Node, ...]:
        """Return the entries of this region that take new work."""
        return self.membership.live_entries()

    def find_entry(self, name: str) -> Node | None:
        """Return the entry of that name unless it is held dead."""
        for member in self.membership.members():
            if member.node.name == name:
                dead = member.state is MemberState.DEAD
                return None if dead else member.node
        return None


def make_node(settings: EntrySettings) -> Node:
    """Return this process as its peers know it."""
    return Node(
        name=settings.name,
        incarnation=time.time_ns(),
        role=Role.ENTRY,
        region=settings.region,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_listen,
        peer_address=settings.peer_listen,
    )


@dataclass(frozen=True, kw_only=True)
class SiteMembership:
    """The members of the site and the endpoints behind them."""

    membership: Membership
    endpoints: EndpointDirectory


def build_membership(
    settings: EntrySettings,
    client: HttpClient,
    call: PeerCall,
    peer_routes: PeerRoutes,
) -> SiteMembership:
    """Return members and endpoints; seeds come from settings and list."""
    listed_seeds: list[Callable[[], tuple[Address, ...]]] = []

    def seeds() -> tuple[Address, ...]:
        listed = [seed for read in listed_seeds for seed in read()]
        known = dict.fromkeys((*settings.seeds, *listed))
        return tuple(seed for seed in known if seed != settings.peer_listen)

    membership = Membership(
        node=make_node(settings),
        call=call,
        seeds=seeds,
        randomness=random.Random(),
    )
    membership.register(peer_routes)
    endpoints = EndpointDirectory(
        membership=membership,
        inputs=EndpointInputs(
            read_list=_make_list_call(settings, client),
            read_report=make_report_call(client),
            static=settings.endpoints,
        ),
        randomness=random.Random(),
    )
    listed_seeds.append(endpoints.seeds)
    return SiteMembership(membership=membership, endpoints=endpoints)


def _make_list_call(settings: EntrySettings, client: HttpClient) -> ReadList:
    if settings.platform.instances is not None:
        return make_list_call(client, settings.platform.instances)
    return _read_no_list


async def _read_no_list() -> Result[InstanceList, Failure]:
    await trio.lowlevel.checkpoint()
    return Error(not_run(Reason.NO_ENDPOINT, 'no instance list in settings'))


def build_site_view(
    settings: EntrySettings,
    surrounding: SiteMembership,
    store: StoreParts | None,
    call: PeerCall,
    peer_routes: PeerRoutes,
) -> SiteView:
    """Return the views; without stores the site's file alone decides."""
    first_site = _read_first_site(settings)
    membership = surrounding.membership
    tasks = (membership.run, surrounding.endpoints.run)
    if store is None:
        return SiteView(
            node=membership.node,
            membership=membership,
            endpoints=surrounding.endpoints,
            read_site=lambda: Ok(first_site or SiteConfig()),
            check_admission=lambda: Ok(None),
            tasks=tasks,
        )
    keeper = ConfigurationManager(
        node=membership.node,
        calls=store.control_calls,
        peer_call=call,
        surroundings=_make_surroundings(surrounding),
        randomness=random.Random(),
    )
    keeper.register(peer_routes)
    return SiteView(
        node=membership.node,
        membership=membership,
        endpoints=surrounding.endpoints,
        read_site=partial(_read_site, keeper, settings.site, first_site),
        check_admission=keeper.check_admission,
        keeper=keeper,
        tasks=(*tasks, keeper.run),
    )


def _read_site(
    keeper: ConfigurationManager,
    name: str,
    first_site: SiteConfig | None,
) -> Result[SiteConfig, Failure]:
    site = keeper.site(name) or first_site
    if site is not None:
        return Ok(site)
    # Without the site's accounts nobody can be told apart from a stranger.
    return Error(
        not_run(
            Reason.UNCONFIRMED,
            'no configuration of the site is in force here yet',
            retry_after_seconds=UNCONFIRMED_RETRY_AFTER_SECONDS,
        ),
    )


def _read_first_site(settings: EntrySettings) -> SiteConfig | None:
    if not settings.site_file:
        return None
    return load_settings_or_exit(settings.site_file, SiteConfig)


def _make_surroundings(surrounding: SiteMembership) -> ClusterView:
    membership = surrounding.membership

    def others() -> tuple[Node, ...]:
        return tuple(
            member.node
            for member in membership.members()
            if member.state is not MemberState.DEAD
            and member.node.role is Role.ENTRY
            and member.node.name != membership.node.name
        )

    def contacts() -> PeerReachability:
        counts = membership.recent_contact_counts()
        return PeerReachability(
            answering=counts.answering, silent=counts.silent
        )

    return ClusterView(
        others=others,
        contacts=contacts,
        list_reachable=surrounding.endpoints.list_reachable,
        is_poller=lambda: membership.is_assigned(CONFIGURATION_DUTY, POLLERS),
    )
