"""Callers that run beside a scenario's steps, in a thread with trio."""

import threading
from dataclasses import dataclass

import trio

from limpet_standins.answers import expected_text
from limpet_standins.small_site import MODEL
from limpetdrift.client import Call, Client
from limpetdrift.protocol.engine import EngineCalls, StreamStart
from limpetdrift.protocol.openai import ChatMessage, prompt_text
from limpetdrift.protocol.verdict import FailureError
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import parse_address

BYTES_PER_TOKEN = 4
SILENCE_SECONDS = 0.5


@dataclass
class Asked:
    """One prompt, what should come and what came."""

    prompt: str
    expected: str
    received: str | None = None
    failure: object = None
    resumptions: int = 0

    @property
    def whole(self):
        return self.received == self.expected


class Callers:
    """Sends prompts until they are answered; ``wait`` ends them all."""

    def __init__(self):
        self.asked = []
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,))
        self._thread.start()
        self._started.wait()

    def ask(self, site, tokens, max_tokens=40, **options):
        """Send a prompt of that many tokens through the entries."""
        number = len(self.asked)
        content = f'{number}-'.ljust(tokens * BYTES_PER_TOKEN, 'x')
        messages = (ChatMessage(role='user', content=content),)
        asked = _make_asked(prompt_text(messages), max_tokens)
        call = Call(
            model=MODEL,
            messages=messages,
            max_tokens=max_tokens,
            **options,
        )
        client = Client(
            seeds=tuple(map(parse_address, site.entry_addresses)),
            key=site.key,
        )
        self._begin(asked, _ask_entry, client, call)

    def ask_engine(self, address, max_tokens=40):
        """Read a stream of an engine itself, resuming where it is silent."""
        number = len(self.asked)
        asked = _make_asked(f'prompt {number}', max_tokens)
        self._begin(asked, _ask_engine, address, number, max_tokens)

    def wait(self, seconds=60):
        """Wait for all answers; what is not there by then stays open."""
        if self._thread.is_alive():
            trio.from_thread.run_sync(
                self._close_after, seconds, trio_token=self._token
            )
        self._thread.join()
        return self.asked

    def _begin(self, asked, body, *arguments):
        self.asked.append(asked)
        trio.from_thread.run_sync(
            self._nursery.start_soon,
            body,
            asked,
            *arguments,
            trio_token=self._token,
        )

    async def _serve(self):
        self._token = trio.lowlevel.current_trio_token()
        self._open = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._started.set()
            with self._open:
                await trio.sleep_forever()

    def _close_after(self, seconds):
        deadline = trio.current_time() + seconds
        self._nursery.cancel_scope.deadline = deadline
        self._open.cancel()


def _make_asked(prompt, max_tokens):
    expected = ''.join(expected_text(MODEL, prompt, max_tokens))
    return Asked(prompt=prompt, expected=expected)


async def _ask_entry(asked, client, call):
    answer = await client.complete(call)
    if answer.is_error():
        asked.failure = answer.error
        return
    asked.received = answer.ok.text
    asked.resumptions = answer.ok.resumptions


async def _ask_engine(asked, address, number, max_tokens):
    engine = EngineCalls(
        client=HttpClient(), idle_timeout_seconds=SILENCE_SECONDS
    )
    where = parse_address(address)
    texts = []
    start = StreamStart(
        stream_id=f'direct-{number}',
        request_key=f'direct-{number}',
        attempt=1,
        holder='scenario',
        incarnation=1,
        expires_in_seconds=30,
        model=MODEL,
        prompt=asked.prompt,
        max_tokens=max_tokens,
    )
    opened = engine.start(where, start)
    while not await _read(opened, texts):
        asked.resumptions += 1
        opened = engine.resume(where, start.stream_id, len(texts))
    asked.received = ''.join(texts)


async def _read(opened, texts):
    try:
        async with opened as batches:
            return await _read_batches(batches, texts)
    except FailureError:
        return False


async def _read_batches(batches, texts):
    async for lines in batches:
        for line in lines:
            if line.finish:
                return True
            texts.append(line.text)
    return False
