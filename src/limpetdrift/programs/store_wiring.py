"""Joins what a process needs to use the platform's stores."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift.coordination.claims import Claims
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
class StoreParts:
    """The stores as this process may use them, and the tasks behind them."""

    claim_calls: TableCalls
    control_calls: TableCalls
    objects: ObjectCalls
    epoch: EpochClock
    tasks: tuple[Task, ...]


def build_store(
    platform: PlatformAddresses,
    client: HttpClient,
    live_nodes: Callable[[], int],
) -> StoreParts | None:
    """Return the stores, or nothing where the settings name none."""
    if platform.table is None or platform.objects is None:
        return None
    budget = Budget(
        calls=make_table_calls(client, platform.table),
        rates=StoreRates(),
        live_nodes=live_nodes,
        randomness=random.Random(),
    )
    control = budget.calls(Priority.CONTROL)
    epoch = EpochClock(table=control, moves=True)
    return StoreParts(
        claim_calls=budget.calls(Priority.CLAIM),
        control_calls=control,
        objects=make_object_calls(client, platform.objects),
        epoch=epoch,
        tasks=(budget.run, epoch.run),
    )


def build_claims(store: StoreParts, node: Node, call: PeerCall) -> Claims:
    """Return the claims of this process."""
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
