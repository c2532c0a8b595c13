"""Measures the latency and the processor time that an entry adds.

A site of one entry and some engines runs on loopback. First, single short
prompts are sent alternately to an engine directly and through the entry; the
difference of the median times to first token is the added latency. Then many
streams run concurrently; printed are their number, the tokens a second and
the entry's processor time per token, which is read from its metrics.

    python benchmarks/relay.py
"""

import json
import random
import re
import statistics
import sys
import time
from dataclasses import dataclass

import trio

from limpet_standins.processes import Processes
from limpet_standins.small_site import MODEL, SiteSizes, start_site
from limpetdrift.client import Call, Client
from limpetdrift.protocol.engine import EngineCalls, StreamStart
from limpetdrift.protocol.openai import ChatMessage, prompt_text
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Request, parse_address

PAIRS = 150
STREAM_COUNTS = (16, 32, 64, 128)
TOKENS = 150
STEP_SECONDS = '0.02'
ENGINES = 4
_PROCESSOR_SECONDS = re.compile(rb'process_cpu_seconds_total ([0-9.e+-]+)')


@dataclass(frozen=True, kw_only=True)
class Load:
    """The figures of one number of concurrent streams."""

    streams: int
    tokens_per_second: float
    processor_microseconds_per_token: float


def make_messages(number):
    """Return a short prompt that differs by ``number``."""
    content = f'booth {number} has no tone. ' * 40
    return (ChatMessage(role='user', content=content),)


async def direct_seconds(engine, address, number):
    """Return the time to first token directly from the engine."""
    start = StreamStart(
        stream_id=f'direct-{number}',
        request_key=f'direct-{number}',
        attempt=1,
        holder='benchmark',
        incarnation=1,
        expires_in_seconds=30.0,
        model=MODEL,
        prompt=prompt_text(make_messages(number)),
        max_tokens=2,
    )
    started = time.perf_counter()
    first = None
    async with engine.start(address, start) as batches:
        async for _ in batches:
            first = first or time.perf_counter()
    return first - started


async def relayed_seconds(client, number):
    """Return the time to first token through the entry."""
    answer = await client.complete(
        Call(model=MODEL, messages=make_messages(number), max_tokens=2),
    )
    return answer.ok.first_token_seconds


async def measure_latencies(site, client):
    """Return the medians, directly and through the entry, in milliseconds."""
    http = HttpClient()
    engine = EngineCalls(client=http, idle_timeout_seconds=5.0)
    address = parse_address(site.engine_addresses[0])
    direct, relayed = [], []
    for number in range(PAIRS):
        direct.append(await direct_seconds(engine, address, number))
        relayed.append(await relayed_seconds(client, 10_000 + number))
    return 1000 * statistics.median(direct), 1000 * statistics.median(relayed)


async def processor_seconds(http, address):
    """Return the processor time that the entry has used, in seconds."""
    answer = await http.fetch(
        address,
        Request(method='GET', path='/metrics'),
        timeout_seconds=5.0,
    )
    return float(_PROCESSOR_SECONDS.search(answer.ok.body).group(1))


async def measure_load(site, client, streams):
    """Run concurrent streams and return their rate and the entry's cost."""
    http = HttpClient()
    address = parse_address(site.entry_addresses[0])
    before = await processor_seconds(http, address)
    started = time.perf_counter()
    tokens = 0

    async def run(number):
        nonlocal tokens
        answer = await client.complete(
            Call(
                model=MODEL,
                messages=make_messages(random.random()),
                max_tokens=TOKENS,
            ),
        )
        tokens += answer.ok.completion_tokens

    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(run, number)
    seconds = time.perf_counter() - started
    used_seconds = await processor_seconds(http, address) - before
    return Load(
        streams=streams,
        tokens_per_second=tokens / seconds,
        processor_microseconds_per_token=1e6 * used_seconds / tokens,
    )


async def measure(site):
    """Measure and print the added latency and the loads."""
    client = Client(
        seeds=(parse_address(site.entry_addresses[0]),),
        key=site.key,
    )
    direct, relayed = await measure_latencies(site, client)
    line = {
        'direct_ms': round(direct, 2),
        'through_ms': round(relayed, 2),
        'added_ms': round(relayed - direct, 2),
    }
    sys.stdout.write(f'{json.dumps(line)}\n')
    for streams in STREAM_COUNTS:
        load = await measure_load(site, client, streams)
        sys.stdout.write(
            f'| {load.streams} | {load.tokens_per_second:.0f} '
            f'| {load.processor_microseconds_per_token:.0f} |\n',
        )


def main():
    """Start a site, measure and stop it."""
    sizes = SiteSizes(
        entries=1,
        engines=ENGINES,
        engine_options=(
            '--step-seconds',
            STEP_SECONDS,
            '--prefill-rate',
            '200000',
            '--max-running',
            '64',
        ),
    )
    with Processes() as processes:
        site = start_site(processes, sizes)
        trio.run(measure, site)


if __name__ == '__main__':
    main()
