"""Builds the components that plan engine requests."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.endpoints.endpoint_gate import (
    Announcements,
    EndpointGate,
    make_gate,
)
from limpetdrift.coordination.endpoints.limit_exchange import (
    DIGEST_NAME as LIMITS_DIGEST_NAME,
)
from limpetdrift.coordination.endpoints.limit_exchange import (
    KeptLimits,
    LimitExchange,
    LimitExchangeInputs,
)
from limpetdrift.coordination.engines.planning_groups import PlanningGroups
from limpetdrift.coordination.membership.link_monitor import LinkMonitor
from limpetdrift.coordination.membership.link_probes import ProbePermits
from limpetdrift.coordination.membership.membership import Member, Membership
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.planning.engine_report_poller import (
    EngineReportPoller,
    ReportPollerInputs,
)
from limpetdrift.coordination.planning.limit_deciders import (
    LimitDeciderInputs,
    LimitDeciders,
)
from limpetdrift.coordination.planning.permit_client import (
    PermitClient,
    PermitClientInputs,
)
from limpetdrift.coordination.planning.plan_placer import PlanPlacer
from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.coordination.planning.planner_client import (
    PlannerClient,
    PlannerClientInputs,
)
from limpetdrift.logs import note
from limpetdrift.platform.limit_rows import TABLE as LIMITS_TABLE
from limpetdrift.platform.limit_rows import LimitRows, LimitRowsInputs
from limpetdrift.platform.reports import make_report_reader
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.platform.store import StoreClient
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.client import HttpClient


@dataclass(frozen=True, kw_only=True)
class EntryContext:
    """What most components of an entry are built from.

    ``entries`` returns the entries that callers may use. ``clock`` and
    ``time_of_day`` return seconds, the latter since 1970.
    """

    settings: PlatformSettings
    node: Node
    routes: RouteTableCache
    view: EndpointView
    links: LinkMonitor
    membership: Membership
    store: StoreClient
    entries: Callable[[], tuple[Node, ...]]
    randomness: random.Random
    clock: Callable[[], float] = boot_time
    time_of_day: Callable[[], float] = time.time


@dataclass(frozen=True, kw_only=True)
class Planning:
    """The components that decide which endpoint gets which call, and when."""

    planner: Planner
    plan_placer: PlanPlacer
    report_poller: EngineReportPoller
    permit_client: PermitClient
    limit_exchange: LimitExchange
    limit_rows: LimitRows
    gate: EndpointGate

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""
        self.plan_placer.register(peer_routes)
        self.permit_client.register(peer_routes)
        self.limit_exchange.register(peer_routes)


def build_planning(
    context: EntryContext,
    call: PeerCall,
    report_client: HttpClient,
) -> Planning:
    """Return the components; ``report_client`` polls the engines' reports."""
    _bound_cold_endpoints(context)
    planner, plan_placer, deciders = _build_planner(context, call)
    planner_client = plan_placer.planner_client
    permits = planner.permits
    limit_rows = _build_limit_rows(context)
    limit_exchange = LimitExchange(
        inputs=LimitExchangeInputs(
            node=context.node,
            view=context.view,
            permits=permits,
            find_decider=deciders.find,
            live_entries=context.membership.live_entries,
            call=call,
            kept=KeptLimits(read=limit_rows.read, keep=limit_rows.keep),
        ),
    )
    gate = make_gate(
        context.view,
        Announcements(
            leaving=plan_placer.announce,
            limit=limit_exchange.announce,
            full=partial(plan_placer.announce, is_full=True),
            call_spent=limit_exchange.spend,
        ),
    )
    report_poller = EngineReportPoller(
        inputs=ReportPollerInputs(
            planner=planner,
            engines=lambda: {
                service.name: plan_placer.planned_engines(service.name)
                for service in context.routes.services
                if service.engine is not None
            },
            read=make_report_reader(report_client, gate),
            clock=context.clock,
        ),
    )
    context.membership.on_change += (
        planner_client.on_members_changed,
        report_poller.on_members_changed,
        deciders.on_members_changed,
        _log_members,
    )
    context.membership.register_digest(
        LIMITS_DIGEST_NAME, limit_exchange.make_digest, limit_exchange.on_digest
    )
    return Planning(
        planner=planner,
        plan_placer=plan_placer,
        report_poller=report_poller,
        permit_client=_build_permit_client(
            context, call, planner, planner_client, deciders
        ),
        limit_exchange=limit_exchange,
        limit_rows=limit_rows,
        gate=gate,
    )


def _build_permit_client(
    context: EntryContext,
    call: PeerCall,
    planner: Planner,
    planner_client: PlannerClient,
    deciders: LimitDeciders,
) -> PermitClient:
    """Return the client, which the probes of links use as well."""
    client = PermitClient(
        inputs=PermitClientInputs(
            view=context.view,
            permits=planner.permits,
            find_decider=deciders.find,
            record_unreachable=planner_client.record_unreachable,
            call=call,
            clock=context.clock,
        ),
    )
    context.links.permits = ProbePermits(
        acquire=client.acquire_for_probe,
        count_entries=lambda: len(context.membership.live_entries()),
    )
    return client


def _bound_cold_endpoints(context: EntryContext) -> None:
    cold = context.view.limits.cold
    cold.use_services(context.routes.services)
    context.routes.on_change.append(
        lambda table: cold.use_services(table.services)
    )


def _build_limit_rows(context: EntryContext) -> LimitRows:
    return LimitRows(
        inputs=LimitRowsInputs(
            store=context.store,
            limits=context.view.limits,
            is_assigned=lambda: context.membership.is_assigned(LIMITS_TABLE, 1),
            randomness=context.randomness,
        ),
    )


def _build_planner(
    context: EntryContext, call: PeerCall
) -> tuple[Planner, PlanPlacer, LimitDeciders]:
    def find_cost_model(service: str) -> EngineCostModel | None:
        found = context.routes.find_service(service)
        return found.engine if found else None

    def share_of(endpoint: ListedEndpoint) -> float:
        return deciders.share_of(endpoint)

    planner = Planner(
        inputs=PlannerInputs(
            name=context.node.name,
            view=context.view,
            find_cost_model=find_cost_model,
            clock=context.clock,
            share_of=share_of,
            randomness=context.randomness,
        ),
    )
    membership = context.membership
    groups = PlanningGroups(node=context.node, view=context.view)
    plan_placer = PlanPlacer(
        inputs=PlannerClientInputs(
            node=context.node,
            planner=planner,
            call=call,
            live_entries=context.entries,
            record_connection_refused=membership.record_connection_refused,
            clock=context.clock,
        ),
        view=context.view,
        groups=groups,
        randomness=context.randomness,
    )
    deciders = LimitDeciders(
        inputs=LimitDeciderInputs(
            node=context.node,
            groups=groups,
            planner_client=plan_placer.planner_client,
            live_entries=context.entries,
            members=membership.members,
        )
    )
    return planner, plan_placer, deciders


def _log_members(changed: tuple[Member, ...]) -> None:
    for member in changed:
        note('peer changed', peer=member.node.name, state=member.state)
