"""Builds the access of a process to the table service and object store."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.programs.serving import Task
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.objects import ObjectCalls, make_object_calls
from limpetdrift.protocol.table import TableCalls
from limpetdrift.protocol.table_client import make_table_calls
from limpetdrift.settings import PlatformAddresses
from limpetdrift.state.budget import Budget, Priority, StoreRates
from limpetdrift.state.claim_sweep import EpochClock
from limpetdrift.state.claims import ClaimStore
from limpetdrift.transport.client import HttpClient


@dataclass(frozen=True, kw_only=True)
class StoreAccess:
    """Access to the stores within this process's share of their rates.

    Calls for claims have precedence over those for control. ``epoch`` holds
    the epoch of the claims table; ``tasks`` run in the background.
    """

    claim_calls: TableCalls
    control_calls: TableCalls
    objects: ObjectCalls
    epoch: EpochClock
    tasks: tuple[Task, ...]


def build_store(
    platform: PlatformAddresses,
    client: HttpClient,
    live_nodes: Callable[[], int],
) -> StoreAccess | None:
    """Build the access to the stores.

    Return ``None`` if the settings lack the address of one of them.
    ``live_nodes`` returns the number of processes that share the rates.
    """
    if platform.table is None or platform.objects is None:
        return None
    budget = Budget(
        calls=make_table_calls(client, platform.table),
        rates=StoreRates(),
        live_nodes=live_nodes,
        randomness=random.Random(),
    )
    control = budget.calls(Priority.CONTROL)
    epoch = EpochClock(table=control, may_advance=True)
    return StoreAccess(
        claim_calls=budget.calls(Priority.CLAIM),
        control_calls=control,
        objects=make_object_calls(client, platform.objects),
        epoch=epoch,
        tasks=(budget.run, epoch.run),
    )


def build_claims(store: StoreAccess, node: Node, call: PeerCall) -> Claims:
    """Build the component that acquires claims and answers peers about them."""
    return Claims(
        node=node,
        store=ClaimStore(
            table=store.claim_calls,
            objects=store.objects,
            epoch=lambda: store.epoch.current,
        ),
        peer_call=call,
        randomness=random.Random(),
    )
