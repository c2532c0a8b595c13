"""Builds the entries and engines of a replay, connected without sockets."""

import random
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.coordination.forwarding.forwarding import (
    Forwarder,
)
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ForwardingInputs,
)
from limpetdrift.coordination.forwarding.retry_policy import (
    jittered_retry_after_seconds,
)
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EngineReport,
    ListedEndpoint,
)
from limpetdrift.replays.admission_queue import Job
from limpetdrift.replays.callers import RequestOutcome
from limpetdrift.replays.engines import Engine
from limpetdrift.replays.policies import (
    POLICIES,
    SERVICE,
    EntryInputs,
    Task,
)
from limpetdrift.replays.workload import Case, Workload
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.messages import UNAVAILABLE, Address, Response
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
)

# Age of an engine's report when an entry receives it.
REPORT_LAG_SECONDS = 0.3
# Numbers in names have a fixed width, so that names sort by number.
_NUMBER_WIDTH = 3
_BAD_GATEWAY = 502


@dataclass(frozen=True, kw_only=True, slots=True)
class RunSpec:
    """The case, the policy and the seed of one run."""

    case: str
    policy: str
    seed: int


@dataclass(kw_only=True)
class SimulatedSite:
    """The state of one run: its entries and engines, and its results so far.

    ``views``, ``forwarders`` and ``routes`` belong to the entries.
    ``busy_until`` is when each entry has processed the messages of peers that
    it has received. While ``is_down``, no entry runs; ``connections`` are those
    of callers to entries. ``messages`` and ``message_bytes`` count what entries
    send to each other, ``reports`` the reports that they read from engines.
    """

    workload: Workload
    spec: RunSpec
    engines: dict[str, Engine] = field(default_factory=dict)
    views: list[EndpointView] = field(default_factory=list)
    routes: dict[Address, PeerRoutes] = field(default_factory=dict)
    busy_until: dict[Address, float] = field(default_factory=dict)
    forwarders: list[Forwarder] = field(default_factory=list)
    tasks: list[Task] = field(default_factory=list)
    outcomes: list[RequestOutcome] = field(default_factory=list)
    is_down: bool = False
    connections: set[trio.CancelScope] = field(default_factory=set)
    messages: int = 0
    message_bytes: int = 0
    reports: int = 0

    @property
    def case(self) -> Case:
        """The case of the workload that is simulated."""
        return self.workload.cases[self.spec.case]

    def make_random(self, *names: object) -> random.Random:
        """Return the random generator of one purpose, seeded by the run."""
        return random.Random(repr((self.spec.seed, *names)))


def make_engines(site: SimulatedSite) -> None:
    """Add the engines of the workload to the site."""
    sizes = site.workload.engines
    for number in range(sizes.count):
        endpoint = ListedEndpoint(
            name=_name('engine', number),
            lifetime=1,
            service=SERVICE,
            address=f'10.1.0.{number}:80',
            failure_domain=_failure_domain_name(site.workload, number),
            slots=sizes.slots,
        )
        site.engines[endpoint.name] = Engine(
            endpoint=endpoint, cost_model=sizes.cost_model
        )


def make_entries(site: SimulatedSite) -> None:
    """Add the entries to the site, with the placement policy of the run.

    Those of before, if any, are dropped with all that they knew.
    """
    for dropped in (site.views, site.forwarders, site.tasks):
        dropped.clear()
    site.routes.clear()
    nodes = tuple(
        _make_node(site.workload, number)
        for number in range(site.workload.entries)
    )
    for node in nodes:
        view = EndpointView(clock=trio.current_time)
        view.replace(engine.endpoint for engine in site.engines.values())
        routes = PeerRoutes()
        placement = POLICIES[site.spec.policy](
            EntryInputs(
                node=node,
                nodes=nodes,
                cost_model=site.workload.engines.cost_model,
                view=view,
                call=_make_peer_call(site),
                peer_routes=routes,
                read_report=partial(_read_report, site),
            ),
        )
        site.views.append(view)
        site.routes[node.peer_address] = routes
        site.tasks += placement.tasks
        randomness = site.make_random(node.name)
        inputs = ForwardingInputs(
            place=placement.place,
            release=placement.release,
            confirm=placement.confirm,
            reserve_memory=partial(_reserve_memory, site),
            send=partial(_send, site),
            check=lambda work: None,
            render=partial(_render_failure, randomness),
            report_broken_connection=lambda broken: None,
            report_harmless=lambda work: None,
            view=view,
            budget=RetryBudget(),
            clock=trio.current_time,
            randomness=randomness,
        )
        site.forwarders.append(Forwarder(inputs=inputs))


def _make_node(workload: Workload, number: int) -> Node:
    address = Address(host='10.0.0.1', port=1000 + number)
    return Node(
        name=_name('entry', number),
        incarnation=number,
        role=Role.ENTRY,
        region='here',
        failure_domain=_failure_domain_name(workload, number),
        caller_address=address,
        peer_address=address,
    )


def _failure_domain_name(workload: Workload, number: int) -> str:
    return _name('domain', number % workload.failure_domains)


def _name(kind: str, number: int) -> str:
    return '-'.join((kind, str(number).zfill(_NUMBER_WIDTH)))


def _make_peer_call(site: SimulatedSite) -> PeerCall:
    async def call_peer(
        address: Address,
        path: str,
        message: object,
        reply: type,
        *,
        timeout_seconds: float,
    ) -> Result:
        body = encode(message)
        site.messages += 1
        site.message_bytes += len(body)
        await trio.sleep(site.workload.peer_seconds)
        wait_seconds = _queue_message(site, address)
        timeout = timeout_seconds - 2 * site.workload.peer_seconds
        await trio.sleep(min(wait_seconds, timeout))
        # A peer processes also those messages whose sender has given up.
        outcome = await site.routes[address].dispatch(path, body)
        answer = outcome.ok if outcome.is_ok() else outcome.error
        site.message_bytes += len(encode(answer))
        await trio.sleep(site.workload.peer_seconds)
        if wait_seconds > timeout:
            return Error(may_have_run(Reason.IDLE_TIMEOUT, path))
        return outcome

    return call_peer


def _queue_message(site: SimulatedSite, address: Address) -> float:
    """Return the time until an entry has processed a message received now.

    An entry processes one message after the other.
    """
    now = trio.current_time()
    done_at = max(now, site.busy_until.get(address, now))
    done_at += site.workload.peer_work_seconds
    site.busy_until[address] = done_at
    return done_at - now


async def _read_report(
    site: SimulatedSite,
    endpoint: ListedEndpoint,
) -> Result[EngineReport, Failure]:
    site.reports += 1
    report = site.engines[endpoint.name].report()
    await trio.sleep(REPORT_LAG_SECONDS)
    return Ok(report)


@asynccontextmanager
async def _reserve_memory(
    site: SimulatedSite,
    placement: DispatchPlan,
) -> AsyncIterator[DispatchPlan]:
    with ExitStack() as reservations:
        for endpoint, tokens in placement.reserved:
            engine = site.engines[endpoint.name]
            reservations.enter_context(engine.admission.reserve_memory(tokens))
        yield placement


@asynccontextmanager
async def _send(
    site: SimulatedSite,
    work: CallerRequest,
    placement: DispatchPlan,
    seconds_left: float,
    last_event: int | None,
) -> AsyncIterator[EndpointResponse]:
    engine = site.engines[placement.endpoint.name]
    helpers = tuple(
        site.engines[helper.endpoint.name] for helper in placement.helpers
    )
    job = Job(
        tokens=work.size.prompt_tokens,
        answer_tokens=work.size.answer_tokens,
        events=work.size.answer_tokens // site.workload.engines.stride,
        parts=1 + len(helpers),
        reserved_tokens=sum(tokens for _, tokens in placement.reserved),
        urgency=placement.urgency,
        written=last_event or 0,
    )
    async with engine.open(job, helpers) as answer:
        yield answer


def _render_failure(randomness: random.Random, failure: Failure) -> Response:
    if failure.verdict is not Verdict.NOT_RUN:
        return Response(status=_BAD_GATEWAY)
    seconds = jittered_retry_after_seconds(failure, randomness)
    return Response(
        status=UNAVAILABLE,
        headers=(('retry-after', str(seconds)),),
    )
