"""How entries place prompts, by what they know of each other's work.

Each policy makes the placing of one entry:

>>> sorted(POLICIES)
['alone', 'digests', 'planner', 'reports', 'round-robin']
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from itertools import count

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.engine_report_poller import (
    EngineReportPoller,
    ReadReport,
    ReportPollerInputs,
)
from limpetdrift.coordination.forwarding import PlaceRequest, ReleasePlacement
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.plan_placer import PlanPlacer
from limpetdrift.coordination.planner import Planner, PlannerInputs
from limpetdrift.coordination.planner_client import PlannerClientInputs
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import Acknowledgement
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    ListedEndpoint,
)
from limpetdrift.replays.entry_loads import EntryLoad, EntryLoads
from limpetdrift.state.endpoint_view import EndpointView

SERVICE = 'models'
DIGEST_PATH = 'digest'
DIGEST_SECONDS = 0.5
_DIGEST_TIMEOUT_SECONDS = 0.5
# Keeps the reports' reader reading at its shorter period.
_DOUBT_SECONDS = 5.0

Task = Callable[[], Awaitable[None]]


@dataclass(frozen=True, kw_only=True)
class EntryInputs:
    """What one entry of a replay is made from."""

    node: Node
    nodes: tuple[Node, ...]
    law: EngineCostModel
    view: EndpointView
    call: PeerCall
    peer_routes: PeerRoutes
    read_report: ReadReport


@dataclass(frozen=True, kw_only=True)
class Placing:
    """How an entry places, and the tasks that it needs for it."""

    place: PlaceRequest
    release: ReleasePlacement
    tasks: tuple[Task, ...] = ()


def _place_by_planner(inputs: EntryInputs) -> Placing:
    """Let one entry plan for all, as the product does."""
    planning, planner = _make_planning(inputs, inputs.nodes)
    planning.register(inputs.peer_routes)
    watch = _make_watch(
        inputs,
        planner,
        lambda: planning.planner_client.planner() is None,
    )
    return Placing(
        place=planning.place,
        release=planning.release,
        tasks=(planning.planner_client.run, watch.run),
    )


def _place_alone(inputs: EntryInputs) -> Placing:
    """Plan by what this entry sent itself."""
    planning, _ = _make_planning(inputs, (inputs.node,))
    return Placing(place=planning.place, release=planning.release)


def _place_by_reports(inputs: EntryInputs) -> Placing:
    """Plan by the entry's own work and what engines say of themselves."""
    planning, planner = _make_planning(inputs, (inputs.node,))
    watch = _make_watch(inputs, planner, lambda: True)

    async def keep_doubting() -> None:
        while True:
            watch.poll_faster()
            await trio.sleep(_DOUBT_SECONDS)

    return Placing(
        place=planning.place,
        release=planning.release,
        tasks=(watch.run, keep_doubting),
    )


def _place_by_digests(inputs: EntryInputs) -> Placing:
    """Plan by the entry's own work and what peers say of theirs."""
    planning, planner = _make_planning(inputs, (inputs.node,))
    digests = EntryLoads(node=inputs.node)
    ledger = planner.ledger(SERVICE)

    async def place(
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        placed = await planning.place(work, excluded)
        if placed.is_ok():
            digests.count(work, placed.ok, 1)
        return placed

    def release(
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        digests.count(work, placement, -1)
        planning.release(work, placement, failed)

    async def spread() -> None:
        while True:
            await trio.sleep(DIGEST_SECONDS)
            for endpoint in inputs.view.usable(SERVICE):
                ledger.note_report(
                    endpoint, digests.estimate_report(endpoint.name)
                )
            await _tell_all(inputs, digests.snapshot())

    inputs.peer_routes.add(DIGEST_PATH, EntryLoad, digests.receive)
    return Placing(place=place, release=release, tasks=(spread,))


def _place_in_turn(inputs: EntryInputs) -> Placing:
    """Send whole prompts to one engine after the other."""
    turns = count()

    async def place(
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        await trio.lowlevel.checkpoint()
        usable = [
            endpoint
            for endpoint in inputs.view.usable(SERVICE)
            if endpoint.identity not in excluded
        ]
        if not usable:
            return Error(not_run(Reason.NO_ENDPOINT, SERVICE))
        return Ok(DispatchPlan(endpoint=usable[next(turns) % len(usable)]))

    def release(
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        """Keep nothing of a call."""

    return Placing(place=place, release=release)


def _make_planning(
    inputs: EntryInputs,
    nodes: tuple[Node, ...],
) -> tuple[PlanPlacer, Planner]:
    planner = Planner(
        inputs=PlannerInputs(
            name=inputs.node.name,
            view=inputs.view,
            find_cost_model=lambda service: inputs.law,
            clock=trio.current_time,
        ),
    )
    planning = PlanPlacer(
        inputs=PlannerClientInputs(
            node=inputs.node,
            planner=planner,
            call=inputs.call,
            live_entries=lambda: nodes,
            record_connection_refused=lambda name: None,
            clock=trio.current_time,
        ),
        view=inputs.view,
    )
    return planning, planner


def _make_watch(
    inputs: EntryInputs,
    planner: Planner,
    is_planner: Callable[[], bool],
) -> EngineReportPoller:
    return EngineReportPoller(
        inputs=ReportPollerInputs(
            planner=planner,
            engines=lambda: {SERVICE: inputs.view.usable(SERVICE)},
            read=inputs.read_report,
            is_planner=is_planner,
            clock=trio.current_time,
        ),
    )


async def _tell_all(inputs: EntryInputs, digest: EntryLoad) -> None:
    async def tell(node: Node) -> None:
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
                nursery.start_soon(tell, node)


POLICIES: dict[str, Callable[[EntryInputs], Placing]] = {
    'planner': _place_by_planner,
    'reports': _place_by_reports,
    'digests': _place_by_digests,
    'alone': _place_alone,
    'round-robin': _place_in_turn,
}
