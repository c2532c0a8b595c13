"""What a home learns of an endpoint from the engine's own reports."""

from dataclasses import dataclass, field

import trio

from limpetdrift import telemetry
from limpetdrift.protocol.engine_management import (
    Allocation,
    EngineLoad,
    EngineManagementCalls,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.verdict import Reason
from limpetdrift.state.concurrency_limit import EngineConcurrencyLimit
from limpetdrift.state.prefixes import BLOCK_TOKENS
from limpetdrift.state.queue import EndpointQueue

UNUSED_GRANT_SECONDS = 5.0
_HOLD = 'hold'


@dataclass(kw_only=True, slots=True)
class HomedEndpoint:
    """An endpoint that this entry was asked about, and its queue."""

    endpoint: Endpoint
    queue: EndpointQueue = field(default_factory=EndpointQueue)
    incarnation: int = 0
    idle_rounds: int = 0
    reported: trio.Event = field(default_factory=trio.Event)


async def read_reports(
    homed: HomedEndpoint, reports: EngineManagementCalls
) -> None:
    """Read the engine's load and allocations once."""
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
    """Let go of all places at an engine that refuses connections.

    The owners of its grants may be dead too, so that nobody would give the
    grants back, and who waits behind them would wait to the deadline.
    """
    queue.ledger.capacity_tokens = 0
    waiting = [ticket.grant_id for ticket in queue.waiting]
    for grant_id in (*queue.granted, *waiting):
        telemetry.count('grants_expired', cause='endpoint-dead')
        queue.remove(grant_id)


def apply_load(homed: HomedEndpoint, load: EngineLoad) -> None:
    """Follow the engine's speed and memory; a new incarnation is empty."""
    queue = homed.queue
    queue.speed.prefill_tokens_per_second = load.prefill_tokens_per_second
    queue.speed.step_seconds = load.step_seconds
    queue.ledger.capacity_tokens = load.memory_tokens
    queue.prefixes.resize(max(1, load.memory_tokens // BLOCK_TOKENS))
    if load.incarnation != homed.incarnation:
        queue.running_limit = EngineConcurrencyLimit()
        homed.incarnation = load.incarnation
        queue.prefixes.clear()
    queue.running_limit.take(running=load.running, waiting=load.waiting)


def apply_allocations(
    queue: EndpointQueue,
    allocations: tuple[Allocation, ...],
) -> None:
    """Count what others hold, and drop grants that nobody used."""
    names = {_grant_of(each) for each in allocations}
    queue.ledger.foreign_tokens = sum(
        each.tokens
        for each in allocations
        if _grant_of(each) not in queue.granted
    )
    oldest = trio.current_time() - UNUSED_GRANT_SECONDS
    unused = [
        ticket.grant_id
        for ticket in queue.granted.values()
        if ticket.grant_id not in names and (ticket.granted_at or 0) < oldest
    ]
    for grant_id in unused:
        telemetry.count('grants_expired', cause='unused')
        queue.remove(grant_id)


def _grant_of(allocation: Allocation) -> str:
    key = allocation.request_key
    if allocation.kind == _HOLD:
        key = allocation.id
    return f'{key}/{allocation.attempt}'
