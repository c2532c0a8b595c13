"""Updates an endpoint's queue from the reports of its engine."""

from dataclasses import dataclass, field

import trio

from limpetdrift import telemetry
from limpetdrift.protocol.engine_management import (
    Allocation,
    EngineLoad,
    EngineManagementCalls,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.concurrency_limit import EngineConcurrencyLimit
from limpetdrift.state.prefixes import BLOCK_TOKENS
from limpetdrift.state.queue import EndpointQueue
from limpetdrift.verdict import Reason

# Grace period after which a grant that the engine does not list expires.
UNUSED_GRANT_SECONDS = 5.0
_RESERVATION_KIND = 'hold'


@dataclass(kw_only=True, slots=True)
class HomedEndpoint:
    """An endpoint that this entry is home of, and its queue.

    ``idle_rounds`` counts the rounds of reports with an empty queue since its
    last use; ``reported`` is set by the first report.
    """

    endpoint: Endpoint
    queue: EndpointQueue = field(default_factory=EndpointQueue)
    incarnation: int = 0
    idle_rounds: int = 0
    reported: trio.Event = field(default_factory=trio.Event)


async def read_engine_reports(
    homed: HomedEndpoint, reports: EngineManagementCalls
) -> None:
    """Read the engine's load and allocations once, and apply them."""
    address = homed.endpoint.address
    load = await reports.load(address)
    if load.is_ok():
        apply_load(homed, load.ok)
        homed.reported.set()
    elif load.error.reason is Reason.CONNECT_FAILED:
        drop_all_grants(homed.queue)
        return
    allocations = await reports.allocations(address)
    if allocations.is_ok():
        apply_allocations(homed.queue, allocations.ok)


def drop_all_grants(queue: EndpointQueue) -> None:
    """Remove all tickets of an engine that refuses connections.

    Its capacity counts as zero until it reports its load again. The owners of
    its grants may be dead, too. The grants would then never be released, and
    the tickets behind them would wait until their deadlines.
    """
    queue.ledger.capacity_tokens = 0
    waiting = [ticket.grant_id for ticket in queue.waiting]
    for grant_id in (*queue.granted, *waiting):
        telemetry.count('grants_expired', cause='endpoint-dead')
        queue.remove(grant_id)


def apply_load(homed: HomedEndpoint, load: EngineLoad) -> None:
    """Update the engine's speed, memory and concurrency limit.

    For a new incarnation, the limit is reset and the cached prefixes are
    cleared.
    """
    queue = homed.queue
    queue.speed.prefill_tokens_per_second = load.prefill_tokens_per_second
    queue.speed.step_seconds = load.step_seconds
    queue.ledger.capacity_tokens = load.memory_tokens
    queue.prefixes.resize(max(1, load.memory_tokens // BLOCK_TOKENS))
    if load.incarnation != homed.incarnation:
        queue.running_limit = EngineConcurrencyLimit()
        homed.incarnation = load.incarnation
        queue.prefixes.clear()
    queue.running_limit.update(running=load.running, waiting=load.waiting)


def apply_allocations(
    queue: EndpointQueue,
    allocations: tuple[Allocation, ...],
) -> None:
    """Count the memory that this home did not grant; expire unused grants."""
    listed = {_grant_id_of(each) for each in allocations}
    queue.ledger.foreign_tokens = sum(
        each.tokens
        for each in allocations
        if _grant_id_of(each) not in queue.granted
    )
    granted_before = trio.current_time() - UNUSED_GRANT_SECONDS
    unused = [
        ticket.grant_id
        for ticket in queue.granted.values()
        if ticket.grant_id not in listed
        and (ticket.granted_at or 0) < granted_before
    ]
    for grant_id in unused:
        telemetry.count('grants_expired', cause='unused')
        queue.remove(grant_id)


def _grant_id_of(allocation: Allocation) -> str:
    key = allocation.request_key
    if allocation.kind == _RESERVATION_KIND:
        key = allocation.id
    return f'{key}/{allocation.attempt}'
