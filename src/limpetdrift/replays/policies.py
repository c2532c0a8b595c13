"""Placement policies, which differ in the load information they use.

Each policy is a function that makes the placement of one entry:

>>> sorted(POLICIES)
['alone', 'digests', 'one-planner', 'planner', 'reports', 'round-robin']
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from itertools import count
from random import Random

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.engines.planning_groups import (
    MIN_GROUP_ENGINES,
    PlanningGroups,
)
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ConfirmPlacement,
    PlaceRequest,
    ReleasePlacement,
    keep_placement,
)
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.planning.engine_report_poller import (
    EngineReportPoller,
    ReadReport,
    ReportPollerInputs,
)
from limpetdrift.coordination.planning.plan_placer import PlanPlacer
from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.coordination.planning.planner_client import PlannerClientInputs
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import Acknowledgement
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    ListedEndpoint,
)
from limpetdrift.replays.entry_loads import EntryLoad, EntryLoads
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Failure, Reason, not_run

SERVICE = 'models'
DIGEST_PATH = 'digest'
DIGEST_INTERVAL_SECONDS = 0.5
_DIGEST_TIMEOUT_SECONDS = 0.5
# Must be less than ``FAST_POLLING_SECONDS`` of the report poller, so that it
# always polls at its short interval.
_POLL_FASTER_INTERVAL_SECONDS = 5.0
# Minimum size of a group of engines with which no service is divided.
_NEVER_DIVIDED = float('inf')

Task = Callable[[], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class EntryInputs:
    """The inputs of one entry's placement policy.

    ``view`` holds the endpoints that this entry uses, and ``read_report``
    fetches an engine's report. ``nodes`` are all entries, with this one.
    """

    node: Node
    nodes: tuple[Node, ...]
    cost_model: EngineCostModel
    view: EndpointView
    call: PeerCall
    peer_routes: PeerRoutes
    read_report: ReadReport


@dataclass(frozen=True, kw_only=True)
class EntryPlacement:
    """An entry's placement functions, and its background tasks."""

    place: PlaceRequest
    release: ReleasePlacement
    confirm: ConfirmPlacement = keep_placement
    tasks: tuple[Task, ...] = ()


def _place_by_planner(inputs: EntryInputs) -> EntryPlacement:
    """Let one entry plan for each group of engines, as the product does."""
    return _place_by_planners(inputs, MIN_GROUP_ENGINES)


def _place_by_one_planner(inputs: EntryInputs) -> EntryPlacement:
    """Let one entry plan for all engines, however many there are."""
    return _place_by_planners(inputs, _NEVER_DIVIDED)


def _place_by_planners(
    inputs: EntryInputs, min_group_engines: float
) -> EntryPlacement:
    placer, planner = _make_placer(inputs, inputs.nodes, min_group_engines)
    placer.register(inputs.peer_routes)
    poller = _make_report_poller(
        inputs,
        planner,
        lambda: placer.planned_engines(SERVICE),
    )
    tasks = [placer.planner_client.run, poller.run]
    if len(placer.groups.layout(SERVICE).groups) > 1:
        # Where it has nothing to do, one task more would only change trio's
        # random order of tasks, and thereby the figures of a seed.
        tasks.append(placer.group_loads.run)
    return EntryPlacement(
        place=placer.place,
        release=placer.release,
        confirm=placer.confirm,
        tasks=tuple(tasks),
    )


def _place_alone(inputs: EntryInputs) -> EntryPlacement:
    """Plan by this entry's own requests only."""
    placer, _ = _make_placer(inputs, (inputs.node,))
    return EntryPlacement(
        place=placer.place, release=placer.release, confirm=placer.confirm
    )


def _place_by_reports(inputs: EntryInputs) -> EntryPlacement:
    """Plan by the entry's own requests and the reports of engines."""
    placer, planner = _make_placer(inputs, (inputs.node,))
    poller = _make_report_poller(
        inputs, planner, lambda: inputs.view.usable(SERVICE)
    )

    async def keep_polling_fast() -> None:
        while True:
            poller.poll_faster()
            await trio.sleep(_POLL_FASTER_INTERVAL_SECONDS)

    return EntryPlacement(
        place=placer.place,
        release=placer.release,
        confirm=placer.confirm,
        tasks=(poller.run, keep_polling_fast),
    )


def _place_by_digests(inputs: EntryInputs) -> EntryPlacement:
    """Plan by the entry's own requests and the digests of its peers."""
    placer, planner = _make_placer(inputs, (inputs.node,))
    loads = EntryLoads(node=inputs.node)
    ledger = planner.ledger(SERVICE)

    async def place(
        work: CallerRequest,
        excluded: frozenset[EndpointIdentity],
    ) -> Result[DispatchPlan, Failure]:
        placed = await placer.place(work, excluded)
        if placed.is_ok():
            loads.record_change(work, placed.ok, 1)
        return placed

    def release(
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        loads.record_change(work, placement, -1)
        placer.release(work, placement, failed)

    async def exchange_digests() -> None:
        while True:
            await trio.sleep(DIGEST_INTERVAL_SECONDS)
            for endpoint in inputs.view.usable(SERVICE):
                ledger.note_report(
                    endpoint, loads.estimate_report(endpoint.name)
                )
            await _send_to_peers(inputs, loads.snapshot())

    inputs.peer_routes.add(DIGEST_PATH, EntryLoad, loads.receive)
    return EntryPlacement(
        place=place,
        release=release,
        confirm=placer.confirm,
        tasks=(exchange_digests,),
    )


def _place_round_robin(inputs: EntryInputs) -> EntryPlacement:
    """Send whole prompts to the engines in rotation."""
    numbers = count()

    async def place(
        work: CallerRequest,
        excluded: frozenset[EndpointIdentity],
    ) -> Result[DispatchPlan, Failure]:
        await trio.lowlevel.checkpoint()
        usable = [
            endpoint
            for endpoint in inputs.view.usable(SERVICE)
            if endpoint.identity not in excluded
        ]
        if not usable:
            return Error(not_run(Reason.NO_ENDPOINT, SERVICE))
        return Ok(DispatchPlan(endpoint=usable[next(numbers) % len(usable)]))

    def release(
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        """Do nothing: this policy keeps no state of requests."""

    return EntryPlacement(place=place, release=release)


def _make_placer(
    inputs: EntryInputs,
    nodes: tuple[Node, ...],
    min_group_engines: float = _NEVER_DIVIDED,
) -> tuple[PlanPlacer, Planner]:
    planner = Planner(
        inputs=PlannerInputs(
            name=inputs.node.name,
            view=inputs.view,
            find_cost_model=lambda service: inputs.cost_model,
            clock=trio.current_time,
            randomness=Random(inputs.node.name),
        ),
    )
    placer = PlanPlacer(
        inputs=PlannerClientInputs(
            node=inputs.node,
            planner=planner,
            call=inputs.call,
            live_entries=lambda: nodes,
            record_connection_refused=lambda name: None,
            clock=trio.current_time,
        ),
        view=inputs.view,
        groups=PlanningGroups(
            node=inputs.node,
            view=inputs.view,
            min_group_engines=min_group_engines,
        ),
        randomness=Random(inputs.node.name),
    )
    return placer, planner


def _make_report_poller(
    inputs: EntryInputs,
    planner: Planner,
    planned_engines: Callable[[], tuple[ListedEndpoint, ...]],
) -> EngineReportPoller:
    return EngineReportPoller(
        inputs=ReportPollerInputs(
            planner=planner,
            engines=lambda: {SERVICE: planned_engines()},
            read=inputs.read_report,
            clock=trio.current_time,
        ),
    )


async def _send_to_peers(inputs: EntryInputs, digest: EntryLoad) -> None:
    async def send_digest(node: Node) -> None:
        await inputs.call(
            node.peer_address,
            DIGEST_PATH,
            digest,
            Acknowledgement,
            timeout_seconds=_DIGEST_TIMEOUT_SECONDS,
        )

    async with trio.open_nursery() as nursery:
        for node in inputs.nodes:
            if node != inputs.node:
                nursery.start_soon(send_digest, node)


POLICIES: dict[str, Callable[[EntryInputs], EntryPlacement]] = {
    'planner': _place_by_planner,
    'one-planner': _place_by_one_planner,
    'reports': _place_by_reports,
    'digests': _place_by_digests,
    'alone': _place_alone,
    'round-robin': _place_round_robin,
}
