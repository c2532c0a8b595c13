"""A harness of entries that serve non-idempotent requests under claims.

The entries run in virtual time against a fake table and object store, and
against an endpoint that records each run.
"""

import random
from dataclasses import dataclass

import trio
from expression import Result

from fake_network import FakeNetwork
from fake_table import FakeTable
from limpetdrift.coordination.claims.claim_outcomes import (
    ClaimedElsewhere,
    ClaimFinished,
    ClaimGranted,
    ClaimRequest,
)
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.protocol.objects import ObjectCalls
from limpetdrift.state.claim_sweep import ClaimSweep
from limpetdrift.state.claims import (
    INLINE_RESULT_BYTES,
    ClaimStore,
    StoredResult,
)
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, Verdict, may_have_run, not_run

OWNERS = 3
DEADLINE_SECONDS = 8.0
EPOCH_SECONDS = 60.0
RUN_SECONDS = 0.05
IDLE_TIMEOUT_SECONDS = 0.5
ENDPOINT = Endpoint(
    name='kiosk-desk-1',
    role=Role.SERVICE,
    address=Address(host='127.0.0.9', port=1),
    failure_domain='thika-hall',
)


class LateTable(FakeTable):
    """A fake table whose writes may take effect after the caller gave up.

    ``late_requests`` is the number of coming writes that do so.
    """

    def __init__(self):
        super().__init__()
        self.late_requests = 0
        self.nursery = None

    async def _batch(self, transactions):
        if not self.late_requests or self.down:
            return await super()._batch(transactions)
        self.late_requests -= 1
        self.nursery.start_soon(self._commit_late, transactions)
        await trio.sleep(self.delay_seconds)
        return Result.Error(may_have_run(Reason.TIMEOUT, 'table'))

    async def _commit_late(self, transactions):
        await trio.sleep(1.5)
        for each in transactions:
            self._commit(each)


class FakeObjects:
    """A fake object store, unreachable whenever the table is down."""

    def __init__(self, table):
        self.bodies = {}
        self._table = table

    def calls(self):
        return ObjectCalls(put=self._put, fetch=self._fetch, delete=self._drop)

    async def _put(self, name, body):
        if self._table.down:
            return Result.Error(not_run(Reason.CONNECT_FAILED))
        self.bodies[name] = body
        return Result.Ok(None)

    async def _fetch(self, name):
        if self._table.down or name not in self.bodies:
            return Result.Error(not_run(Reason.NOT_FOUND))
        return Result.Ok(self.bodies[name])

    async def _drop(self, name):
        self.bodies.pop(name, None)
        return Result.Ok(None)


@dataclass(frozen=True, kw_only=True)
class RecordedRun:
    """One run of a request, as the endpoint recorded it."""

    key: str
    stream_id: str
    at: float
    deadline: float


class JournalEndpoint:
    """A fake endpoint that records its runs; each run's answer is unique.

    ``refuse``, ``silent`` and ``forget`` are the numbers of coming runs that
    are refused, get no answer in time, or can't be resumed.
    """

    def __init__(self):
        self.journal = []
        self.refuse = 0
        self.silent = 0
        self.forget = 0
        self._bodies = {}

    async def run(self, key, stream_id, deadline):
        await trio.sleep(0.001)
        if self.refuse:
            self.refuse -= 1
            return Result.Error(not_run(Reason.ENDPOINT_REFUSED))
        self.journal.append(
            RecordedRun(
                key=key,
                stream_id=stream_id,
                at=trio.current_time(),
                deadline=deadline,
            ),
        )
        # Every other result is too large to be stored in its row.
        size = INLINE_RESULT_BYTES * (len(self.journal) % 2) + 20
        body = f'{key} ran as {len(self.journal)}'.ljust(size).encode()
        if not self.forget:
            self._bodies[stream_id] = body
        self.forget = max(0, self.forget - 1)
        await trio.sleep(RUN_SECONDS)
        if self.silent:
            self.silent -= 1
            await trio.sleep(IDLE_TIMEOUT_SECONDS)
            return Result.Error(may_have_run(Reason.IDLE_TIMEOUT))
        return Result.Ok(StoredResult(status=200, body=body))

    def ran_at(self, body):
        """Return the start time of the run that gave this answer."""
        number = int(body.split()[-1])
        return self.journal[number - 1].at

    async def resume(self, stream_id):
        await trio.sleep(0.001)
        if stream_id not in self._bodies:
            return Result.Error(may_have_run(Reason.STREAM_UNKNOWN))
        return Result.Ok(StoredResult(status=200, body=self._bodies[stream_id]))


class Owner:
    """One entry, with its claims and the way it serves requests."""

    def __init__(self, *, name, incarnation, address, harness):
        self.harness = harness
        self.address = address
        self.pause = None
        self._scopes = set()
        self._dead = False
        node = Node(
            name=name,
            incarnation=incarnation,
            role=Role.ENTRY,
            region='kiambu',
            failure_domain='thika-hall',
            caller_address=address,
            peer_address=address,
        )
        routes = PeerRoutes()
        self.claims = Claims(
            node=node,
            store=harness.store,
            peer_call=harness.network.add_peer(address, routes),
            randomness=random.Random(f'{name}-{incarnation}'),
        )
        self.claims.register(routes)

    async def run_until_killed(self, body, *arguments):
        """Run a task of this process until it ends or the process is killed."""
        scope = trio.CancelScope()
        self._scopes.add(scope)
        if self._dead:
            scope.cancel()
        with scope:
            await body(*arguments)

    def kill_tasks(self):
        self._dead = True
        for scope in self._scopes:
            scope.cancel()

    async def serve(self, key, stream_id):
        """Serve a request under a claim; return its answer or failure."""
        deadline = trio.current_time() + DEADLINE_SECONDS
        acquired = await self.claims.acquire_claim(
            ClaimRequest(
                account='simu-kona',
                idempotency_key=key,
                fingerprint=f'body of {key}',
                endpoint=ENDPOINT,
                stream_id=stream_id,
                deadline=deadline,
            ),
        )
        await self._wait_while_paused()
        if acquired.is_error():
            return acquired
        if isinstance(acquired.ok, ClaimGranted):
            return await self._run(key, stream_id, acquired.ok.token, deadline)
        if isinstance(acquired.ok, ClaimFinished):
            return Result.Ok(acquired.ok.result)
        return await self._follow(acquired.ok)

    async def _run(self, key, stream_id, token, deadline):
        # Leaves a window between grant and dispatch for faults.
        await trio.sleep(0.002)
        await self._wait_while_paused()
        if not self.claims.may_dispatch(token, deadline):
            self.claims.withdraw_claim(token)
            return Result.Error(not_run(Reason.DEADLINE))
        endpoint = self.harness.endpoint
        outcome = await endpoint.run(key, stream_id, deadline)
        await self._wait_while_paused()
        if outcome.is_error() and outcome.error.verdict is Verdict.NOT_RUN:
            self.claims.withdraw_claim(token)
            return outcome
        if outcome.is_error():
            outcome = await endpoint.resume(stream_id)
        if outcome.is_error():
            self.claims.mark_uncertain(token)
            return outcome
        return Result.Ok(await self.claims.finish(token, outcome.ok))

    async def _follow(self, existing):
        resumed = await self.harness.endpoint.resume(
            existing.claim.row.stream_id
        )
        if resumed.is_error():
            return resumed
        if isinstance(existing, ClaimedElsewhere) and existing.running:
            return Result.Error(may_have_run(Reason.CLAIMED_ELSEWHERE))
        return Result.Ok(
            await self.claims.record_resumed_result(existing.claim, resumed.ok)
        )

    async def _wait_while_paused(self):
        while self.pause is not None:
            await self.pause.wait()


class ClaimHarness:
    """Entries with a shared table, object store and endpoint.

    ``answers`` holds the key, stream id, outcome and end time of each send.
    """

    def __init__(self):
        self.table = LateTable()
        self.network = FakeNetwork(seed=1)
        self.endpoint = JournalEndpoint()
        self.objects = FakeObjects(self.table)
        self.store = ClaimStore(
            table=self.table.calls(),
            objects=self.objects.calls(),
            epoch=current_epoch,
        )
        self.answers = []
        self.kills = 0
        self.owners = {}
        self._incarnations = 0
        self._streams = 0
        self._nursery = None

    async def run_script(self, script):
        """Run the steps, end all faults, and send each key again."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.table.nursery = nursery
            for index in range(OWNERS):
                self._start(index)
            nursery.start_soon(self._sweep)
            for step in script:
                await step(self)
            self.heal()
            await trio.sleep(2 * DEADLINE_SECONDS)
            for key in sorted({sent[0] for sent in self.answers}):
                await self._serve(self.owners[0], key)
            nursery.cancel_scope.cancel()

    def send(self, index, key):
        owner = self.owners[index]
        self._nursery.start_soon(
            owner.run_until_killed, self._serve, owner, key
        )

    def kill(self, index):
        self.kills += 1
        old = self.owners[index]
        old.kill_tasks()
        self.thaw(index)
        self.network.kill(old.address)
        self._start(index)

    def freeze(self, index):
        owner = self.owners[index]
        if owner.pause is None:
            owner.pause = trio.Event()
            self.network.freeze(owner.address)

    def thaw(self, index):
        owner = self.owners[index]
        if owner.pause is not None:
            owner.pause.set()
            owner.pause = None
            self.network.thaw(owner.address)

    def heal(self):
        self.table.down = False
        self.table.lose_answers = 0
        self.table.lose_requests = 0
        self.table.late_requests = 0
        self.endpoint.refuse = 0
        self.network.heal()
        for index in range(OWNERS):
            self.thaw(index)

    def _start(self, index):
        self._incarnations += 1
        owner = Owner(
            name=f'entry-{index}',
            incarnation=self._incarnations,
            address=Address(host='127.0.0.1', port=index + 1),
            harness=self,
        )
        self.owners[index] = owner
        self._nursery.start_soon(owner.run_until_killed, owner.claims.run)

    async def _serve(self, owner, key):
        self._streams += 1
        stream_id = f'stream-{self._streams}'
        answer = await owner.serve(key, stream_id)
        self.answers.append((key, stream_id, answer, trio.current_time()))

    async def _sweep(self):
        sweep = ClaimSweep(
            table=self.table.calls(),
            objects=self.objects.calls(),
            retention_epochs=1,
        )
        while True:
            await trio.sleep(5)
            await sweep.sweep_page(current_epoch())


def current_epoch():
    return int(trio.current_time() // EPOCH_SECONDS)
