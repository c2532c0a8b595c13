"""Builds an entry's view of its site: members, endpoints, configuration."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from expression import Error, Ok, Result

from limpetdrift.callers.chat import ReadSite
from limpetdrift.coordination.configuration.config_confirmation import (
    ClusterView,
    PeerReachability,
)
from limpetdrift.coordination.configuration.configuration import (
    POLLERS,
    ConfigurationManager,
)
from limpetdrift.coordination.homes.endpoint_directory import (
    EndpointDirectory,
    EndpointInputs,
)
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.programs.serving import Task
from limpetdrift.programs.settings_file import load_settings_or_exit
from limpetdrift.programs.store_wiring import StoreAccess
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.instances import (
    InstanceList,
    ReadList,
    make_list_call,
)
from limpetdrift.protocol.lifecycle_reports import make_report_call
from limpetdrift.protocol.node import Node, Role
from limpetdrift.settings import EntrySettings
from limpetdrift.state.site import SiteConfig
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure, Reason, not_run

# Retry-after of requests that are refused because no configuration of the site
# is in force yet.
UNCONFIRMED_RETRY_AFTER_SECONDS = 1.0
# The duty to poll the store for configuration. Rendezvous hashing of this name
# assigns it to ``POLLERS`` of the live entries.
CONFIGURATION_DUTY = 'configuration-poll'


@dataclass(frozen=True, kw_only=True)
class SiteView:
    """An entry's view of its site.

    ``read_site`` and ``check_admission`` are functions, since their results
    change while requests run. ``check_admission`` returns an error while the
    entry may not rely on its copy of the configuration.
    ``configuration_manager`` is ``None`` without a store.
    """

    node: Node
    membership: Membership
    endpoints: EndpointDirectory
    read_site: ReadSite
    check_admission: Callable[[], Result[None, Failure]]
    configuration_manager: ConfigurationManager | None = None
    tasks: tuple[Task, ...] = ()

    def live_entries(self) -> tuple[Node, ...]:
        """Return the live entries of this region, which accept new work."""
        return self.membership.live_entries()

    def find_entry(self, name: str) -> Node | None:
        """Return the entry of this name, or ``None`` if unknown or dead."""
        for member in self.membership.members():
            if member.node.name == name:
                dead = member.state is MemberState.DEAD
                return None if dead else member.node
        return None


def make_node(settings: EntrySettings) -> Node:
    """Return the node by which peers identify this process.

    Its incarnation is the start time, so that a restart has a higher one.
    """
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
    """The members of the cluster and the endpoints that they use."""

    membership: Membership
    endpoints: EndpointDirectory


def build_membership(
    settings: EntrySettings,
    client: HttpClient,
    call: PeerCall,
    peer_routes: PeerRoutes,
) -> SiteMembership:
    """Build the membership and the directory of endpoints.

    The seeds are those of the settings and the entries of the instance list.
    """
    seed_sources: list[Callable[[], tuple[Address, ...]]] = []

    def seeds() -> tuple[Address, ...]:
        listed = [seed for read in seed_sources for seed in read()]
        unique_seeds = dict.fromkeys((*settings.seeds, *listed))
        return tuple(
            seed for seed in unique_seeds if seed != settings.peer_listen
        )

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
    seed_sources.append(endpoints.seeds)
    return SiteMembership(membership=membership, endpoints=endpoints)


def _make_list_call(settings: EntrySettings, client: HttpClient) -> ReadList:
    if settings.platform.instances is not None:
        return make_list_call(client, settings.platform.instances)
    return _report_no_list


async def _report_no_list() -> Result[InstanceList, Failure]:
    await trio.lowlevel.checkpoint()
    return Error(not_run(Reason.NO_ENDPOINT, 'no instance list in settings'))


def build_site_view(
    settings: EntrySettings,
    site_membership: SiteMembership,
    store: StoreAccess | None,
    call: PeerCall,
    peer_routes: PeerRoutes,
) -> SiteView:
    """Build the view of the site.

    Without a store, the configuration is that of the settings' site file.
    """
    file_site = _read_site_file(settings)
    membership = site_membership.membership
    tasks = (membership.run, site_membership.endpoints.run)
    if store is None:
        return SiteView(
            node=membership.node,
            membership=membership,
            endpoints=site_membership.endpoints,
            read_site=lambda: Ok(file_site or SiteConfig()),
            check_admission=lambda: Ok(None),
            tasks=tasks,
        )
    manager = ConfigurationManager(
        node=membership.node,
        calls=store.control_calls,
        peer_call=call,
        cluster=_make_cluster_view(site_membership),
        randomness=random.Random(),
    )
    manager.register(peer_routes)
    return SiteView(
        node=membership.node,
        membership=membership,
        endpoints=site_membership.endpoints,
        read_site=partial(_read_site, manager, settings.site, file_site),
        check_admission=manager.check_admission,
        configuration_manager=manager,
        tasks=(*tasks, manager.run),
    )


def _read_site(
    manager: ConfigurationManager,
    name: str,
    file_site: SiteConfig | None,
) -> Result[SiteConfig, Failure]:
    site = manager.site(name) or file_site
    if site is not None:
        return Ok(site)
    # Without the site's client accounts no caller can be authenticated.
    return Error(
        not_run(
            Reason.UNCONFIRMED,
            'no configuration of the site is in force here yet',
            retry_after_seconds=UNCONFIRMED_RETRY_AFTER_SECONDS,
        ),
    )


def _read_site_file(settings: EntrySettings) -> SiteConfig | None:
    if not settings.site_file:
        return None
    return load_settings_or_exit(settings.site_file, SiteConfig)


def _make_cluster_view(site_membership: SiteMembership) -> ClusterView:
    membership = site_membership.membership

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
        list_reachable=site_membership.endpoints.list_reachable,
        is_poller=lambda: membership.is_assigned(CONFIGURATION_DUTY, POLLERS),
    )
