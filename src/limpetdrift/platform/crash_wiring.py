"""Builds the guard against requests that crash endpoints."""

from limpetdrift.coordination.crashes.crash_exchange import (
    DIGEST_NAME,
    CrashExchange,
    CrashExchangeInputs,
)
from limpetdrift.coordination.crashes.crash_guard import (
    CrashGuard,
    CrashGuardInputs,
    IsDead,
)
from limpetdrift.coordination.crashes.isolation_leases import IsolationLeases
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.platform.crash_rows import CrashRows, CrashRowsInputs
from limpetdrift.platform.endpoint_client import is_dead
from limpetdrift.platform.planning_wiring import EntryContext
from limpetdrift.state.crash_evidence import CrashEvidence


def build_crash_guard(
    context: EntryContext, call: PeerCall, check_dead: IsDead = is_dead
) -> tuple[CrashGuard, CrashRows]:
    """Return the guard against requests that crash endpoints, and its rows."""
    membership = context.membership
    evidence = CrashEvidence(clock=context.clock)
    rows = CrashRows(
        inputs=CrashRowsInputs(
            store=context.store,
            evidence=evidence,
            is_assigned=lambda duty: membership.is_assigned(duty, 1),
            randomness=context.randomness,
            time_of_day=context.time_of_day,
        ),
    )
    exchange = CrashExchange(
        inputs=CrashExchangeInputs(
            node=context.node,
            evidence=evidence,
            live_entries=membership.live_entries,
            call=call,
            clock=context.clock,
            randomness=context.randomness,
            read_kept=rows.read,
            on_change=[rows.on_change],
        ),
    )
    membership.register_digest(
        DIGEST_NAME, exchange.make_digest, exchange.on_digest
    )
    guard = CrashGuard(
        inputs=CrashGuardInputs(
            exchange=exchange,
            leases=IsolationLeases(
                node=context.node,
                live_entries=membership.live_entries,
                call=call,
            ),
            view=context.view,
            is_dead=check_dead,
            clock=context.clock,
            time_of_day=context.time_of_day,
        ),
    )
    return guard, rows
