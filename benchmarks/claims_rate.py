"""Measures claims a second of one process, and the writes they cost.

The table is in memory with the service's delays, so that the figures show
the budget and the claims alone. Each claim is taken and finished.

    PYTHONPATH=src:tests python benchmarks/claims_rate.py
"""

import random
import time
from dataclasses import dataclass

import trio
from absl import app, flags

from claim_harness import ENDPOINT, FakeObjects
from fake_network import FakeNetwork
from fake_table import FakeTable
from limpetdrift.coordination.claim_outcomes import ClaimRequest
from limpetdrift.coordination.claims import Claims
from limpetdrift.protocol.node import Node, Role
from limpetdrift.state.batching import BATCH_ITEMS, BatchLimits
from limpetdrift.state.budget import Budget, Priority, StoreRates
from limpetdrift.state.claims import ClaimStore, StoredResult
from limpetdrift.transport.messages import Address

SECONDS = flags.DEFINE_float('seconds', 5.0, 'length of each run')
NODES = flags.DEFINE_integer('nodes', 9, 'live nodes that share the rates')
WRITES = flags.DEFINE_float('writes', 300.0, 'writes a second of the service')
SEED = flags.DEFINE_integer('seed', 20261203, 'seed of the tokens')

HERE = Address(host='127.0.0.1', port=1)
TAKERS = (1, 10, 100, 400)


@dataclass(frozen=True, kw_only=True)
class Measured:
    """One run's figures."""

    claims: int
    refused: int
    writes: int
    cpu_seconds: float


class Bench:
    """One process's claims over a budget."""

    def __init__(self, *, batch_items):
        self.table = FakeTable()
        randomness = random.Random(SEED.value)
        self.budget = Budget(
            calls=self.table.calls(),
            rates=StoreRates(writes_per_second=WRITES.value),
            live_nodes=lambda: NODES.value,
            randomness=randomness,
            limits=BatchLimits(batch_items=batch_items),
        )
        self.claims = Claims(
            node=Node(
                name='entry-1',
                incarnation=1,
                role=Role.ENTRY,
                region='kiambu',
                failure_domain='thika-hall',
                caller_address=HERE,
                peer_address=HERE,
            ),
            store=ClaimStore(
                table=self.budget.calls(Priority.CLAIM),
                objects=FakeObjects(self.table).calls(),
                epoch=lambda: 1,
            ),
            peer_call=FakeNetwork().add_peer(HERE, None),
            randomness=randomness,
        )
        self.done = 0
        self.refused = 0

    async def take_always(self, name):
        """Take and finish one claim after the other."""
        number = 0
        while True:
            number += 1
            key = f'{name}-{number}'
            taken = await self.claims.acquire_claim(
                ClaimRequest(
                    account='simu-kona',
                    idempotency_key=key,
                    fingerprint=key,
                    endpoint=ENDPOINT,
                    stream_id=key,
                    deadline=trio.current_time() + 30,
                ),
            )
            if taken.is_error():
                self.refused += 1
                continue
            token = taken.ok.token
            self.claims.may_dispatch(token, trio.current_time() + 30)
            await self.claims.finish(token, StoredResult(status=200, body=b'ok'))
            self.done += 1

    async def measure(self, takers):
        """Run the takers for a while."""
        started = time.process_time()
        with trio.move_on_after(SECONDS.value):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.budget.run)
                nursery.start_soon(self.claims.run)
                for taker in range(takers):
                    nursery.start_soon(self.take_always, taker)
        return Measured(
            claims=self.done,
            refused=self.refused,
            writes=self.table.writes,
            cpu_seconds=time.process_time() - started,
        )


def main(_):
    """Print a table of runs with and without grouping."""
    print('| grouped | takers | claims/s | refused/s | writes/s | ms CPU |')
    print('|---|---|---|---|---|---|')
    for batch_items in (BATCH_ITEMS, 1):
        for takers in TAKERS:
            bench = Bench(batch_items=batch_items)
            run = trio.run(bench.measure, takers)
            cells = (
                'yes' if batch_items > 1 else 'no',
                takers,
                round(run.claims / SECONDS.value, 1),
                round(run.refused / SECONDS.value, 1),
                round(run.writes / SECONDS.value, 1),
                round(1000 * run.cpu_seconds / max(1, run.claims), 2),
            )
            print('|', ' | '.join(str(cell) for cell in cells), '|')


if __name__ == '__main__':
    app.run(main)
