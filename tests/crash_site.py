"""Entries before engines that crash on a part of a prompt, in virtual time.

A bad part crashes each engine that begins to write an answer to a prompt with
it. All answers that the engine writes break off with it, and another process
takes its place some seconds later.
"""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial

import trio

from forward_harness import make_answer_memory
from limit_site import (
    ENGINES_SERVICE,
    EndpointClient,
    LimitedEndpoint,
    LimitSite,
)
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.verdict import (
    FailureError,
    Reason,
    may_have_run,
    not_run,
)
from virtual_time import background_tasks

CONTACT_SECONDS = 3.0
# Crashes after which the bound on further prompts with the part holds.
BOUND_CRASHES = 5
# Prompts with a bad part that may reach engines beyond the bound.
MORE_PROMPTS = 3
# Wanted share of the sound prompts that are served, from twice the contact
# time after the last crash that the bound counts.
SERVED_SHARE = 0.95
_READ_SECONDS = 0.12
_EVENTS = 12
_EVENT_SECONDS = 0.06
_DOWN_SECONDS = 3.0
_UNLISTED_SECONDS = 1.2
_OK = 200
JOIN_SECONDS = 3.0


@dataclass(frozen=True, kw_only=True)
class PartOutcome:
    """How a prompt ended at its caller."""

    at: float
    parts: tuple[str, ...]
    status: int
    seconds: float
    is_whole: bool


@dataclass(kw_only=True)
class Engine:
    """The process at an engine's address, and the answers that it writes."""

    endpoint: LimitedEndpoint
    answers: list[trio.CancelScope] = field(default_factory=list)
    is_down: bool = False
    starts: int = 1


class CrashingClient(EndpointClient):
    """Takes the prompts of one entry; some crash their engine."""

    @asynccontextmanager
    async def stream(self, address, request, **options: object):
        """Answer a prompt with a stream, or crash."""
        engine = self._site.engines[str(address)]
        if engine.is_down:
            raise FailureError(not_run(Reason.CONNECT_FAILED, str(address)))
        parts = tuple(dict(request.headers).get('prompt-prefix', '').split(','))
        self._site.reached.append((trio.current_time(), parts))
        scope = trio.CancelScope()
        engine.answers.append(scope)
        try:
            with scope:
                await trio.sleep(_READ_SECONDS)
                is_bad = self._site.bad_parts.intersection(parts[:-1])
                if is_bad and not self._site.sends_event:
                    self._site.crash(engine)
                    await trio.sleep_forever()
                crash = partial(self._site.crash, engine) if is_bad else None
                yield _EventStream(crash)
        finally:
            engine.answers.remove(scope)
        if scope.cancelled_caught:
            raise FailureError(may_have_run(Reason.CONNECTION_BROKEN, 'reset'))


class _EventStream:
    """An answer of some events, which breaks off with its engine."""

    def __init__(self, crash=None) -> None:
        self.status = 200
        self.headers = (('content-length', '2'),)
        self._crash = crash

    def expect_bytes(self, length: int) -> None:
        """Do nothing: chunks are as they were sent."""

    async def chunks(self):
        for number in range(1, _EVENTS + 1):
            yield f'id: {number}\ndata: x\n\n'.encode()
            await trio.sleep(_EVENT_SECONDS)
            if self._crash is not None:
                self._crash()
                await trio.sleep_forever()


class CrashSite(LimitSite):
    """Entries, engines that crash on ``bad_parts``, and their callers.

    With ``sends_event`` an engine sends one event before it crashes.
    ``reached`` has the times at which prompts reached engines, and their
    parts; ``crashes`` the times of crashes by a bad part.
    """

    def __init__(self, *, entries: int, engines: int = 14) -> None:
        super().__init__(entries=entries, engines=engines, plain=0)
        self.bad_parts: set[str] = set()
        self.sends_event = False
        self.reached: list[tuple[float, tuple[str, ...]]] = []
        self.crashes: list[float] = []
        self.ended: list[PartOutcome] = []
        self.engines = {
            each.listed.address: Engine(endpoint=each)
            for each in self.endpoints
        }

    def make_client(self, entry: str) -> CrashingClient:
        """Return the client for an entry's calls to engines."""
        return CrashingClient(self, entry)

    async def is_dead(self, endpoint: ListedEndpoint) -> bool:
        """Return whether no process listens at an engine's address."""
        await trio.sleep(0.002)
        return self.engines[endpoint.address].is_down

    def crash(self, engine: Engine, *, is_counted: bool = True) -> None:
        """End an engine's process; another starts some seconds later."""
        engine.is_down = True
        if is_counted:
            self.crashes.append(trio.current_time())
        for scope in engine.answers:
            scope.cancel()
        self._nursery.start_soon(self._restart, engine)

    async def prompt(
        self, number: int, parts: tuple[str, ...], account: str = 'acme'
    ) -> None:
        """Send one prompt of a caller through an entry."""
        entry = self.entries.get(number)
        if entry is None:
            return
        exchange = CallerExchange()
        work = self.make_work(
            ENGINES_SERVICE,
            account=account,
            headers=(('prompt-prefix', ','.join(parts)),),
            prompt_parts=parts,
            body=parts[-1].encode(),
        )
        at = trio.current_time()
        with trio.move_on_after(work.route.timeout_seconds):
            await entry.serve(work, exchange)
        response = exchange.response
        self.ended.append(
            PartOutcome(
                at=at,
                parts=parts,
                status=response.status if response else exchange.status or 0,
                seconds=trio.current_time() - at,
                is_whole=exchange.finished,
            )
        )

    async def offer_prompts(
        self,
        make_parts,
        *,
        rate: float,
        seconds: float,
        account: str = 'acme',
    ) -> None:
        """Send prompts at a rate, spread over all entries, no two alike."""
        randomness = random.Random(f'{rate}-{seconds}-{account}')
        until = trio.current_time() + seconds
        sent = 0
        while trio.current_time() < until:
            await trio.sleep(randomness.expovariate(rate))
            sent += 1
            parts = (*make_parts(randomness), f'own-{account}-{rate}-{sent}')
            number = randomness.choice(sorted(self.entries))
            self._nursery.start_soon(self.prompt, number, parts, account)

    def reached_with(self, part: str, since: float) -> int:
        """Return how many prompts with a part reached engines since a time."""
        return sum(
            at >= since and part in parts[:-1] for at, parts in self.reached
        )

    def served_share(self, part: str, since: float, until: float) -> float:
        """Return the share of prompts without a part that were served whole."""
        sound = [
            each
            for each in self.ended
            if since <= each.at < until and part not in each.parts
        ]
        return sum(each.is_whole for each in sound) / max(1, len(sound))

    async def _restart(self, engine: Engine) -> None:
        listed = engine.endpoint.listed
        await trio.sleep(_UNLISTED_SECONDS)
        self.endpoints.remove(engine.endpoint)
        self._list_again()
        await trio.sleep(_DOWN_SECONDS - _UNLISTED_SECONDS)
        engine.starts += 1
        base = listed.name.partition('.')[0]
        engine.endpoint.listed = replace(listed, name=f'{base}.{engine.starts}')
        engine.is_down = False
        self.endpoints.append(engine.endpoint)
        self._list_again()

    def _list_again(self) -> None:
        for entry in self.entries.values():
            entry.view.replace(each.listed for each in self.endpoints)


def check_bound(site: CrashSite, part: str) -> None:
    """Check the bound on prompts with a part after its fifth crash."""
    if len(site.crashes) < BOUND_CRASHES:
        return
    since = site.crashes[BOUND_CRASHES - 1] + CONTACT_SECONDS
    assert site.reached_with(part, since) <= MORE_PROMPTS


@asynccontextmanager
async def open_crash_site(**sizes: int):
    """Run a site while the body runs, after its entries have joined."""
    site = CrashSite(**sizes)
    async with background_tasks(site):
        await trio.sleep(JOIN_SECONDS)
        yield site


class CallerExchange:
    """What a caller received."""

    def __init__(self) -> None:
        self.response = None
        self.status: int | None = None
        self.started = False
        self.finished = False

    @property
    def is_whole(self) -> bool:
        return self.response is not None or self.finished

    def make_answer_memory(self):
        return make_answer_memory()

    async def respond(self, response) -> None:
        self.started = True
        self.response = response
        self.finished = response.status == _OK

    async def start(self, status: int, headers: object = ()) -> None:
        self.started = True
        self.status = status

    async def send(self, payload: bytes) -> None:
        """Take a part of the answer."""

    async def finish(self) -> None:
        self.finished = True

    async def abort(self) -> None:
        """Take the end of a broken answer."""

    async def wait_closed(self) -> None:
        await trio.sleep_forever()
