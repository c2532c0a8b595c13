"""Builds the components that plan engine requests, and the crash guard."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crash_guard import CrashGuard
from limpetdrift.coordination.endpoint_gate import (
    EndpointGate,
    make_gate,
)
from limpetdrift.coordination.engine_report_poller import (
    EngineReportPoller,
    ReportPollerInputs,
)
from limpetdrift.coordination.membership import Member, Membership
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.plan_placer import PlanPlacer
from limpetdrift.coordination.planner import Planner, PlannerInputs
from limpetdrift.coordination.planner_client import PlannerClientInputs
from limpetdrift.coordination.planning_groups import PlanningGroups
from limpetdrift.coordination.quarantine_replication import (
    DIGEST_NAME,
    QuarantineReplicator,
)
from limpetdrift.logs import note
from limpetdrift.platform.endpoint_client import is_dead
from limpetdrift.platform.reports import make_report_reader
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.state.suspects import CrashSuspects
from limpetdrift.transport.client import HttpClient


@dataclass(frozen=True, kw_only=True)
class EntryContext:
    """What most components of an entry are built from.

    ``entries`` returns the entries that callers may use, and ``clock`` seconds.
    """

    settings: PlatformSettings
    node: Node
    routes: RouteTableCache
    view: EndpointView
    membership: Membership
    entries: Callable[[], tuple[Node, ...]]
    randomness: random.Random
    clock: Callable[[], float] = boot_time


def build_planning(
    context: EntryContext,
    call: PeerCall,
    report_client: HttpClient,
) -> tuple[PlanPlacer, EngineReportPoller]:
    """Return the placer of engine requests and the engine report poller."""

    def find_cost_model(service: str) -> EngineCostModel | None:
        found = context.routes.find_service(service)
        return found.engine if found else None

    planner = Planner(
        inputs=PlannerInputs(
            name=context.node.name,
            view=context.view,
            find_cost_model=find_cost_model,
            clock=context.clock,
        ),
    )
    plan_placer = PlanPlacer(
        inputs=PlannerClientInputs(
            node=context.node,
            planner=planner,
            call=call,
            live_entries=context.entries,
            record_connection_refused=context.membership.record_connection_refused,
            clock=context.clock,
        ),
        view=context.view,
        groups=PlanningGroups(node=context.node, view=context.view),
        randomness=context.randomness,
    )
    report_poller = EngineReportPoller(
        inputs=ReportPollerInputs(
            planner=planner,
            engines=lambda: {
                service.name: plan_placer.planned_engines(service.name)
                for service in context.routes.services
                if service.engine is not None
            },
            read=make_report_reader(
                report_client,
                build_gate(context, plan_placer),
            ),
            clock=context.clock,
        ),
    )
    context.membership.on_change.append(
        plan_placer.planner_client.on_members_changed
    )
    context.membership.on_change.append(report_poller.on_members_changed)
    context.membership.on_change.append(_log_members)
    return plan_placer, report_poller


def build_gate(context: EntryContext, plan_placer: PlanPlacer) -> EndpointGate:
    """Return the gate that all requests to endpoints pass."""
    return make_gate(context.view, plan_placer.announce_leaving)


def _log_members(changed: tuple[Member, ...]) -> None:
    for member in changed:
        note('peer changed', peer=member.node.name, state=member.state)


def build_crash_guard(context: EntryContext, call: PeerCall) -> CrashGuard:
    """Return the guard that refuses requests that crash endpoints."""
    suspects = CrashSuspects()
    replicator = QuarantineReplicator(
        node=context.node,
        suspects=suspects,
        live_entries=context.membership.live_entries,
        call=call,
    )
    context.membership.register_digest(
        DIGEST_NAME, replicator.make_digest, replicator.on_digest
    )
    return CrashGuard(suspects=suspects, replicator=replicator, is_dead=is_dead)
