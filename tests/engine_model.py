"""A fake engine in virtual time for placement tests.

Like the stand-in engine it works in steps. Each step decodes one token of
every run whose prefill is done, and prefills up to a chunk of the others'
prompts, in order of priority number and start time. Memory is held from the
start of a run until it is removed or, for a reservation, expires.
"""

import itertools
from dataclasses import dataclass, field, fields
from heapq import heapify, heappush

import trio
from expression import Error, Ok

from limpetdrift.protocol.engine_management import (
    Allocation,
    CacheEvents,
    EmptyReply,
    EngineLoad,
    EngineManagementCalls,
)
from limpetdrift.state.prefixes import BLOCK_TOKENS, RecentPrefixes
from limpetdrift.verdict import Reason, may_have_run, not_run

CHUNK_TOKENS = 2048
MAX_RUNNING = 32


@dataclass(kw_only=True, eq=False)
class Run:
    """A stream, reservation (``hold``) or export, and the memory it holds."""

    id: str
    kind: str
    request_key: str
    attempt: int
    holder: str
    incarnation: int
    tokens: int
    started_at: float
    expires_at: float
    priority: int = 0
    remaining_tokens: float = 0
    finished: bool = False
    cached_tokens: int = 0
    first_token: trio.Event = field(default_factory=trio.Event)
    lost: bool = False
    output_tokens: int = 1
    ended: trio.Event = field(default_factory=trio.Event)

    def prefill(self, tokens):
        self.remaining_tokens -= tokens
        if not self.remaining_tokens:
            self.first_token.set()
            self.decode()

    def decode(self):
        self.output_tokens -= 1
        if self.output_tokens <= 0:
            self.finished = True
            self.ended.set()


@dataclass(kw_only=True, order=True)
class _QueueEntry:
    """An entry in the engine's queue for memory."""

    rank: tuple
    wake: trio.Event = field(default_factory=trio.Event, compare=False)


def _rank(run):
    return (run.priority, run.started_at)


def _share_chunk(batch):
    shares = {}
    available = CHUNK_TOKENS
    for run in batch:
        share = min(run.remaining_tokens, available)
        if share:
            shares[run.id] = share
            available -= share
    return shares


class EngineModel:
    """A fake engine whose prefill rate is shared by priority.

    While ``down``, management calls time out and streams fail to connect.
    While ``refuses``, management calls fail to connect.
    """

    def __init__(
        self,
        *,
        memory_tokens=400_000,
        prefill_tokens_per_second=20_000.0,
        step_seconds=0.02,
    ):
        self.memory_tokens = memory_tokens
        self.rate = prefill_tokens_per_second
        self.step_seconds = step_seconds
        self.runs = {}
        self.cache = RecentPrefixes(limit_blocks=memory_tokens // BLOCK_TOKENS)
        self.incarnation = 1
        self.down = False
        self.refuses = False
        self.freed = []
        self._arrivals = itertools.count()
        self._work = trio.Event()
        self._queue = []

    @property
    def held_tokens(self):
        return sum(each.tokens for each in self.runs.values())

    def crash(self):
        self.incarnation += 1
        for each in self.runs.values():
            each.lost = True
            each.first_token.set()
            each.ended.set()
        self.runs.clear()
        self.cache.clear()

    def expire(self):
        now = trio.current_time()
        expired = [
            each
            for each in self.runs.values()
            if each.kind == 'hold' and each.expires_at <= now
        ]
        for each in expired:
            self.remove(each.id)

    def add(self, run):
        self.expire()
        if self.held_tokens + run.tokens > self.memory_tokens:
            return False
        self.runs[run.id] = run
        self._work.set()
        return True

    def remove(self, run_id):
        run = self.runs.pop(run_id, None)
        if run is not None:
            run.lost = True
            run.first_token.set()
            run.ended.set()
            self._wake()

    async def serve(self):
        """Run prefill and decode steps until cancelled."""
        while True:
            batch = self._batch()
            if not batch:
                self._work = trio.Event()
                await self._work.wait()
                continue
            shares = _share_chunk(batch)
            seconds = sum(shares.values()) / self.rate
            decoding = [each for each in batch if not each.remaining_tokens]
            await trio.sleep(max(seconds, self.step_seconds))
            for run in decoding:
                run.decode()
            for run in batch:
                if run.id in shares and not run.lost:
                    run.prefill(shares[run.id])

    async def start(self, request, placement, holder, incarnation=1):
        """Start a stream; fail with ``NO_MEMORY`` if memory is short."""
        if self.down:
            return Error(not_run(Reason.CONNECT_FAILED))
        cached = self.cache.matched_tokens(request.prefix_blocks)
        run = Run(
            id=f's-{request.request_key}-{request.attempt}',
            kind='stream',
            request_key=request.request_key,
            attempt=request.attempt,
            holder=holder,
            incarnation=incarnation,
            tokens=request.prompt_tokens + request.max_tokens,
            started_at=trio.current_time(),
            expires_at=trio.current_time() + 30,
            priority=placement.priority,
            remaining_tokens=max(1, request.prompt_tokens - cached),
            cached_tokens=cached,
            output_tokens=request.max_tokens,
        )
        if not self.add(run):
            return Error(not_run(Reason.NO_MEMORY))
        self.cache.add(request.prefix_blocks)
        return Ok(run)

    async def start_or_queue(self, request, placement, holder):
        """Start a stream after waiting in the engine's queue for memory."""
        entry = _QueueEntry(rank=(placement.priority, next(self._arrivals)))
        heappush(self._queue, entry)
        try:
            while self._queue[0] is not entry or not self._fits(request):
                entry.wake = trio.Event()
                await entry.wake.wait()
        finally:
            self._leave_queue(entry)
        run = await self.start(request, placement, holder)
        self._wake()
        return run

    def _batch(self):
        streams = [
            each
            for each in self.runs.values()
            if each.kind == 'stream' and not each.finished
        ]
        return sorted(streams, key=_rank)[:MAX_RUNNING]

    def _leave_queue(self, entry):
        self._queue.remove(entry)
        heapify(self._queue)
        self._wake()

    def _fits(self, request):
        tokens = request.prompt_tokens + request.max_tokens
        return self.held_tokens + tokens <= self.memory_tokens

    def _wake(self):
        if self._queue:
            self._queue[0].wake.set()


class _Calls:
    """The calls of ``EngineManagementCalls`` to engine models by address."""

    def __init__(self, engines):
        self.engines = engines

    def find_engine(self, address):
        engine = self.engines[address]
        engine.expire()
        if engine.refuses:
            return Error(not_run(Reason.CONNECT_FAILED))
        if engine.down:
            return Error(may_have_run(Reason.TIMEOUT))
        return Ok(engine)

    async def load(self, address):
        return self.find_engine(address).map(_load_of)

    async def allocations(self, address):
        return self.find_engine(address).map(_allocations_of)

    async def cache_events(self, address, after):
        return Ok(CacheEvents(first=after, next=after))

    async def delete_allocation(self, address, allocation):
        def apply(engine):
            engine.freed.append(allocation)
            engine.remove(allocation.id)
            return EmptyReply()

        return self.find_engine(address).map(apply)

    async def reserve_memory(self, address, request):
        def apply(engine):
            added = request.hold_id in engine.runs or engine.add(
                _hold_of(request)
            )
            return (
                Ok(EmptyReply()) if added else Error(not_run(Reason.NO_MEMORY))
            )

        return self.find_engine(address).bind(apply)

    async def renew(self, address, hold_id, seconds):
        def apply(engine):
            if hold_id not in engine.runs:
                return Error(not_run(Reason.STREAM_UNKNOWN))
            engine.runs[hold_id].expires_at = trio.current_time() + seconds
            return Ok(EmptyReply())

        return self.find_engine(address).bind(apply)

    async def release_reservation(self, address, hold_id):
        def apply(engine):
            engine.remove(hold_id)
            return EmptyReply()

        return self.find_engine(address).map(apply)


def make_management_calls(engines):
    """Return ``EngineManagementCalls`` to engine models by address."""
    calls = _Calls(engines)
    names = [each.name for each in fields(EngineManagementCalls)]
    return EngineManagementCalls(
        **{name: getattr(calls, name) for name in names}
    )


def _load_of(engine):
    streams = [
        each
        for each in engine.runs.values()
        if each.kind == 'stream' and not each.finished
    ]
    running = min(MAX_RUNNING, len(streams))
    return EngineLoad(
        running=running,
        waiting=len(streams) - running,
        memory_tokens=engine.memory_tokens,
        held_tokens=engine.held_tokens,
        prefill_tokens_per_second=engine.rate,
        step_seconds=engine.step_seconds,
        incarnation=engine.incarnation,
    )


def _hold_of(request):
    now = trio.current_time()
    return Run(
        id=request.hold_id,
        kind='hold',
        request_key=request.request_key,
        attempt=request.attempt,
        holder=request.holder,
        incarnation=request.incarnation,
        tokens=request.tokens,
        started_at=now,
        expires_at=now + request.expires_in_seconds,
    )


def _allocations_of(engine):
    now = trio.current_time()
    return tuple(
        Allocation(
            id=each.id,
            kind=each.kind,
            request_key=each.request_key,
            attempt=each.attempt,
            holder=each.holder,
            incarnation=each.incarnation,
            tokens=each.tokens,
            age_seconds=now - each.started_at,
            expires_in_seconds=each.expires_at - now,
            finished=each.finished,
        )
        for each in engine.runs.values()
    )
