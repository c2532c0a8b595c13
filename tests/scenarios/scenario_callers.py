"""Callers that run in a trio thread of their own, beside a scenario's steps."""

import threading
from dataclasses import dataclass

import trio

from limpet_standins.answers import expected_text
from limpet_standins.small_site import MODEL
from limpetdrift.client import Call, Client
from limpetdrift.protocol.engine import EngineCalls, StreamStart
from limpetdrift.protocol.openai import ChatMessage, prompt_text
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import parse_address
from limpetdrift.verdict import FailureError

BYTES_PER_TOKEN = 4
# Time without data after which a stream is resumed on a new connection.
IDLE_TIMEOUT_SECONDS = 0.5


@dataclass
class PromptResult:
    """A prompt, its expected answer and the answer or failure received."""

    prompt: str
    expected: str
    received: str | None = None
    failure: object = None
    resumptions: int = 0

    @property
    def is_complete(self):
        return self.received == self.expected


class Callers:
    """Sends prompts in the background until ``wait`` is called."""

    def __init__(self):
        self.results = []
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,))
        self._thread.start()
        self._started.wait()

    def send_prompt(self, site, tokens, max_tokens=40, **options):
        """Send a prompt of ``tokens`` tokens through the entries."""
        number = len(self.results)
        content = f'{number}-'.ljust(tokens * BYTES_PER_TOKEN, 'x')
        messages = (ChatMessage(role='user', content=content),)
        result = _make_result(prompt_text(messages), max_tokens)
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
        self._start(result, _send_to_entry, client, call)

    def read_from_engine(self, address, max_tokens=40):
        """Read a stream directly from an engine; resume it if it breaks off."""
        number = len(self.results)
        result = _make_result(f'prompt {number}', max_tokens)
        self._start(result, _read_from_engine, address, number, max_tokens)

    def wait(self, seconds=60):
        """Wait for all answers for a time, then cancel those outstanding.

        A cancelled prompt has neither an answer nor a failure.
        """
        if self._thread.is_alive():
            trio.from_thread.run_sync(
                self._end_after, seconds, trio_token=self._token
            )
        self._thread.join()
        return self.results

    def _start(self, result, body, *arguments):
        self.results.append(result)
        trio.from_thread.run_sync(
            self._nursery.start_soon,
            body,
            result,
            *arguments,
            trio_token=self._token,
        )

    async def _serve(self):
        self._token = trio.lowlevel.current_trio_token()
        self._idle_scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._started.set()
            # Keeps the nursery open while there are no prompts.
            with self._idle_scope:
                await trio.sleep_forever()

    def _end_after(self, seconds):
        deadline = trio.current_time() + seconds
        self._nursery.cancel_scope.deadline = deadline
        self._idle_scope.cancel()


def _make_result(prompt, max_tokens):
    expected = ''.join(expected_text(MODEL, prompt, max_tokens))
    return PromptResult(prompt=prompt, expected=expected)


async def _send_to_entry(result, client, call):
    answer = await client.complete(call)
    if answer.is_error():
        result.failure = answer.error
        return
    result.received = answer.ok.text
    result.resumptions = answer.ok.resumptions


async def _read_from_engine(result, address, number, max_tokens):
    engine = EngineCalls(
        client=HttpClient(), idle_timeout_seconds=IDLE_TIMEOUT_SECONDS
    )
    engine_address = parse_address(address)
    texts = []
    start = StreamStart(
        stream_id=f'direct-{number}',
        request_key=f'direct-{number}',
        attempt=1,
        holder='scenario',
        incarnation=1,
        expires_in_seconds=30,
        model=MODEL,
        prompt=result.prompt,
        max_tokens=max_tokens,
    )
    stream = engine.start(engine_address, start)
    while not await _read(stream, texts):
        result.resumptions += 1
        stream = engine.resume(engine_address, start.stream_id, len(texts))
    result.received = ''.join(texts)


async def _read(stream, texts):
    """Append the texts; return whether the stream finished."""
    try:
        async with stream as batches:
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
