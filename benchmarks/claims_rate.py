"""Measures the rate of claims of one process, and their writes to the store.

Each claim is acquired and finished. The table is in memory and delays calls
as the table service does, so that only the rate budget and the claims
themselves limit the rate.

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
from limpetdrift.coordination.claims.claim_outcomes import ClaimRequest
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.protocol.node import Node, Role
from limpetdrift.state.batching import BATCH_ITEMS, BatchLimits
from limpetdrift.state.budget import Budget, Priority, StoreRates
from limpetdrift.state.claims import ClaimStore, StoredResult
from limpetdrift.transport.messages import Address

SECONDS = flags.DEFINE_float('seconds', 5.0, 'length of each run in seconds')
NODES = flags.DEFINE_integer('nodes', 9, 'live nodes that share the store rate')
WRITES = flags.DEFINE_float('writes', 300.0, 'writes a second of the store')
SEED = flags.DEFINE_integer('seed', 20261203, 'seed of the tokens')

ADDRESS = Address(host='127.0.0.1', port=1)
# Numbers of concurrent tasks, which each acquire one claim after the other.
TASK_COUNTS = (1, 10, 100, 400)


@dataclass(frozen=True, kw_only=True)
class Figures:
    """The figures of one run; ``cpu_seconds`` is the processor time used."""

    claims: int
    refused: int
    writes: int
    cpu_seconds: float


class ClaimBenchmark:
    """The claims of one process, with its share of the store's rate."""

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
                caller_address=ADDRESS,
                peer_address=ADDRESS,
            ),
            store=ClaimStore(
                table=self.budget.calls(Priority.CLAIM),
                objects=FakeObjects(self.table).calls(),
                epoch=lambda: 1,
            ),
            peer_call=FakeNetwork().add_peer(ADDRESS, None),
            randomness=randomness,
        )
        self.finished = 0
        self.refused = 0

    async def claim_repeatedly(self, task_number):
        """Acquire and finish claims until cancelled."""
        number = 0
        while True:
            number += 1
            key = f'{task_number}-{number}'
            acquired = await self.claims.acquire_claim(
                ClaimRequest(
                    account='simu-kona',
                    idempotency_key=key,
                    fingerprint=key,
                    endpoint=ENDPOINT,
                    stream_id=key,
                    deadline=trio.current_time() + 30,
                ),
            )
            if acquired.is_error():
                self.refused += 1
                continue
            token = acquired.ok.token
            self.claims.may_dispatch(token, trio.current_time() + 30)
            await self.claims.finish(
                token,
                StoredResult(status=200, body=b'ok'),
            )
            self.finished += 1

    async def measure(self, task_count):
        """Run the tasks for the length of a run."""
        started = time.process_time()
        with trio.move_on_after(SECONDS.value):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.budget.run)
                nursery.start_soon(self.claims.run)
                for task_number in range(task_count):
                    nursery.start_soon(self.claim_repeatedly, task_number)
        return Figures(
            claims=self.finished,
            refused=self.refused,
            writes=self.table.writes,
            cpu_seconds=time.process_time() - started,
        )


def main(_):
    """Print a table of runs with and without batching of table calls."""
    print('| grouped | takers | claims/s | refused/s | writes/s | ms CPU |')
    print('|---|---|---|---|---|---|')
    for batch_items in (BATCH_ITEMS, 1):
        for task_count in TASK_COUNTS:
            benchmark = ClaimBenchmark(batch_items=batch_items)
            run = trio.run(benchmark.measure, task_count)
            cells = (
                'yes' if batch_items > 1 else 'no',
                task_count,
                round(run.claims / SECONDS.value, 1),
                round(run.refused / SECONDS.value, 1),
                round(run.writes / SECONDS.value, 1),
                round(1000 * run.cpu_seconds / max(1, run.claims), 2),
            )
            print('|', ' | '.join(str(cell) for cell in cells), '|')


if __name__ == '__main__':
    app.run(main)
