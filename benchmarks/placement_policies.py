r"""Compares placement policies in virtual time, on the product's own code.

Entries with real homes and placers use simple engine models. Arrivals are a
Poisson process, with the same seeds for each policy.

    PYTHONPATH=src:tests python benchmarks/placement_policies.py \
        --engines 20 --entries 6 --loads 80,95 --seeds 5 --out runs.jsonl
"""

import argparse
import bisect
import itertools
import json
import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace

import trio

from limpetdrift.protocol.placement import AttemptOutcome
from limpetdrift.state.prefixes import BLOCK_TOKENS, RecentPrefixes
from placement_site import Site, make_request
from virtual_time import run_in_virtual_time

PREFILL_TOKENS_PER_SECOND = 20_000.0
MEMORY_TOKENS = 400_000
STEP_SECONDS = 0.02
DURATION_SECONDS = 90.0
WARM_UP_SECONDS = 15.0
# Longest prompt that counts as short.
MAX_SHORT_TOKENS = 4096
# One prompt in this number is long, the others are usual.
LONG_PROMPT_INTERVAL = 50
DEADLINE_SECONDS = 60.0
# Number of groups of prompts that share a prefix.
PREFIX_GROUPS = 60
# Tokens of a usual prompt, each with its weight in the random choice.
USUAL_LENGTHS = ((1000, 50), (4000, 28), (16_000, 15), (64_000, 5))
LONG_LENGTHS = (120_000, 250_000)
# Upper bounds in tokens of the classes of prompts in the report.
LENGTH_CLASSES = (1000, 4000, 16_000, 64_000, 250_000)
POLICY_NAMES = (
    'round-robin',
    'least-tokens',
    'prefix-two-choices',
    'slack',
)


@dataclass(frozen=True, kw_only=True)
class Case:
    """One run: a policy under a load with a seed."""

    policy: str
    load_percent: int
    seed: int
    with_long: bool
    engines: int
    entries: int


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of the workload; ``at`` is in seconds from its start."""

    at: float
    tokens: int
    blocks: tuple


def mean_tokens():
    """Return the mean number of prompt tokens, cached ones included."""
    usual = sum(length * weight for length, weight in USUAL_LENGTHS)
    usual /= sum(weight for _, weight in USUAL_LENGTHS)
    long = statistics.mean(LONG_LENGTHS)
    return usual + (long - usual) / LONG_PROMPT_INTERVAL


def make_blocks(randomness, tokens):
    """Draw the prefix blocks of a prompt, some shared within a group.

    Half of the prompts share three quarters of their blocks with prompts of
    their group and length, the others only the first two blocks.
    """
    count = tokens // BLOCK_TOKENS
    group = min(int(randomness.paretovariate(0.8)), PREFIX_GROUPS)
    shared = int(count * 0.75) if randomness.random() < 0.5 else min(2, count)
    own = randomness.getrandbits(48)
    return tuple(
        hash((tokens, group, index)) if index < shared else hash((own, index))
        for index in range(count)
    )


def make_arrivals(case):
    """Return the workload of a case.

    Its usual prompts are the same with and without long ones. The load is the
    share of the engines' prefill rate that is needed with ideal prefix hits.
    """
    per_second = case.load_percent / 100 * case.engines
    per_second *= PREFILL_TOKENS_PER_SECOND / mean_tokens()
    arrivals_with_long = draw_arrivals(
        replace(case, with_long=True), per_second
    )
    uncached_share = 1 - ideal_hits(arrivals_with_long, case.engines)
    return draw_arrivals(case, per_second / uncached_share)


def draw_arrivals(case, per_second):
    """Draw the arrivals of a Poisson process at a rate."""
    randomness = random.Random(case.seed)
    at = 0.0
    arrivals = []
    for number in itertools.count():
        at += randomness.expovariate(per_second)
        if at > DURATION_SECONDS:
            return arrivals
        is_long = number % LONG_PROMPT_INTERVAL == LONG_PROMPT_INTERVAL // 2
        weights = [weight for _, weight in USUAL_LENGTHS]
        usual = randomness.choices(
            [length for length, _ in USUAL_LENGTHS], weights
        )[0]
        tokens = randomness.choice(LONG_LENGTHS) if is_long else usual
        blocks = make_blocks(randomness, tokens)
        if case.with_long or not is_long:
            arrivals.append(Arrival(at=at, tokens=tokens, blocks=blocks))


def ideal_hits(arrivals, engines):
    """Return the share of tokens found in one cache shared by all engines."""
    cache = make_shared_cache(engines)
    hits = 0
    for arrival in arrivals:
        hits += cache.matched_tokens(arrival.blocks)
        cache.add(arrival.blocks)
    return hits / sum(each.tokens for each in arrivals)


def make_shared_cache(engines):
    """Return a prefix cache with the memory of all engines together."""
    limit = engines * MEMORY_TOKENS // BLOCK_TOKENS
    return RecentPrefixes(limit_blocks=limit)


def goodput(records):
    """Return the prompt tokens a second of the finished requests.

    Counted are those that ended after the warm-up and while requests arrived.
    """
    tokens = sum(
        each['tokens']
        for each in records
        if each['ended_at'] is not None
        and WARM_UP_SECONDS <= each['ended_at'] < DURATION_SECONDS
    )
    return tokens / (DURATION_SECONDS - WARM_UP_SECONDS)


def break_down(records):
    """Return the mean parts of the time to first token, and of prefix hits.

    The times are those of short prompts, and separately of the slowest tenth
    of them, in seconds. The hits are shares of all prompt tokens: found in
    one cache shared by all engines, at most in any engine's cache when the
    prompt was placed, and in the cache of the chosen engine.
    """
    done = [each for each in records if each['first'] is not None]
    short = sorted(
        (each for each in done if each['tokens'] <= MAX_SHORT_TOKENS),
        key=lambda each: each['first'],
    )
    parts = {}
    for name, records_of_part in (
        ('all', short),
        ('slowest tenth', short[-len(short) // 10 :]),
    ):
        count = max(1, len(records_of_part))
        parts[name] = {
            key: sum(each[key] for each in records_of_part) / count
            for key in ('wait_home', 'wait_engine', 'prefill', 'first')
        }
        explained = sum(
            parts[name][key] for key in ('wait_home', 'wait_engine', 'prefill')
        )
        parts[name]['others_steps'] = parts[name]['first'] - explained
    total = max(1, sum(each['tokens'] for each in done))
    hits = {
        key: sum(each[key] for each in done) / total
        for key in ('ideal', 'nearest', 'cached')
    }
    return {'short_seconds': parts, 'hit_tokens': hits}


async def run_case(case, arrivals, records):
    """Run one case and append a record to ``records`` for each request."""
    site = Site(
        entries=case.entries,
        engines=case.engines,
        policy=case.policy,
        seed=case.seed,
        memory_tokens=MEMORY_TOKENS,
        prefill_tokens_per_second=PREFILL_TOKENS_PER_SECOND,
        step_seconds=STEP_SECONDS,
    )
    randomness = random.Random(case.seed + 1)
    shared_cache = make_shared_cache(case.engines)
    run_started_at = trio.current_time()

    async def send_request(number, arrival, entry, output):
        arrived_at = trio.current_time()
        request = make_request(
            number,
            prompt_tokens=arrival.tokens,
            max_tokens=output,
            prefix_blocks=arrival.blocks,
            deadline_in_seconds=DEADLINE_SECONDS,
        )
        record = {
            'at': arrival.at,
            'tokens': arrival.tokens,
            'first': None,
            'cached': 0,
            'ideal': 0,
            'nearest': 0,
            'ended_at': None,
            'wait_home': 0.0,
            'wait_engine': 0.0,
            'prefill': 0.0,
        }
        records.append(record)
        outcome = await site.placers[entry].place(request)
        if outcome.is_error():
            record['refused_after'] = trio.current_time() - arrived_at
            return
        placed = outcome.ok
        placed_at = trio.current_time()
        engine = site.engines[placed.endpoint.address]
        record['ideal'] = shared_cache.matched_tokens(arrival.blocks)
        shared_cache.add(arrival.blocks)
        record['nearest'] = max(
            each.cache.matched_tokens(arrival.blocks)
            for each in site.engines.values()
        )
        seconds_left = max(
            0, DEADLINE_SECONDS - (trio.current_time() - arrived_at)
        )
        run = None
        with trio.move_on_after(seconds_left):
            run = (await engine.start_or_queue(request, placed, 'e')).ok
            started_at = trio.current_time()
            record['cached'] = run.cached_tokens
            record['wait_home'] = placed_at - arrived_at
            record['wait_engine'] = started_at - placed_at
            record['prefill'] = run.remaining_tokens / engine.rate
            await run.first_token.wait()
            record['first'] = trio.current_time() - arrived_at
            await run.ended.wait()
            record['ended_at'] = trio.current_time() - run_started_at
        if run is not None:
            engine.remove(run.id)
        site.placers[entry].release(placed, AttemptOutcome.FINISHED)

    async with trio.open_nursery() as nursery:
        site.start(nursery)
        async with trio.open_nursery() as request_nursery:
            for number, arrival in enumerate(arrivals):
                await trio.sleep_until(arrival.at)
                request_nursery.start_soon(
                    send_request,
                    number,
                    arrival,
                    randomness.randrange(case.entries),
                    randomness.choice((64, 128, 256)),
                )
        nursery.cancel_scope.cancel()


def percentile(values, share):
    """Return the value at a share of the sorted values, None without any."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(case, arrivals, records):
    """Return the figures of one run."""
    measured = [each for each in records if each['at'] >= WARM_UP_SECONDS]
    classes = {}
    for each in measured:
        length = LENGTH_CLASSES[
            bisect.bisect_left(LENGTH_CLASSES, each['tokens'])
        ]
        classes.setdefault(length, []).append(each['first'])
    done = [each for each in measured if each['first'] is not None]
    short = [
        each['first'] for each in done if each['tokens'] <= MAX_SHORT_TOKENS
    ]
    total = sum(each['tokens'] for each in done)
    refused = [
        each['refused_after'] for each in measured if 'refused_after' in each
    ]
    times = {}
    for length, firsts in sorted(classes.items()):
        first_times = [first for first in firsts if first is not None]
        times[length] = {
            'count': len(firsts),
            'failed': len(firsts) - len(first_times),
            **{f'p{p}': percentile(first_times, p / 100) for p in (50, 95, 99)},
        }
    return {
        **asdict(case),
        'short_p95': percentile(short, 0.95),
        'times': times,
        'hit_share': sum(each['cached'] for each in done) / max(1, total),
        'ideal_hit_share': ideal_hits(arrivals, case.engines),
        'goodput_tokens_per_second': goodput(records),
        'breakdown': break_down(measured),
        'refused': len(refused),
        'refused_after_p95': percentile(refused, 0.95),
    }


def simulate_case(case):
    """Run a case in virtual time."""
    arrivals = make_arrivals(case)
    records = []

    async def body():
        await run_case(case, arrivals, records)

    run_in_virtual_time(body, seed=case.seed)
    return summarize(case, arrivals, records)


def make_cases(options):
    """Return all cases; cases that differ only by policy are adjacent."""
    return [
        Case(
            policy=policy,
            load_percent=load,
            seed=seed,
            with_long=with_long,
            engines=options.engines,
            entries=options.entries,
        )
        for load in map(int, options.loads.split(','))
        for seed in range(1, options.seeds + 1)
        for with_long in (True, False)
        if with_long or not options.only_with_long
        for policy in options.policies.split(',')
    ]


def format_spread(values, digits=2):
    """Format the median of values with the least and the greatest."""
    present = [each for each in values if each is not None]
    if not present:
        return '-'
    middle = statistics.median(present)
    low, high = min(present), max(present)
    return f'{middle:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})'


def print_breakdown(breakdown):
    """Print the parts of times and hits of one run."""
    for name, parts in breakdown['short_seconds'].items():
        cells = ' '.join(f'{key} {parts[key]:.3f}' for key in parts)
        print(f'|   | short, {name}: {cells}')
    hits = breakdown['hit_tokens']
    cells = ' '.join(f'{key} {share:.3f}' for key, share in hits.items())
    print(f'|   | hits: {cells}')


def print_report(results):
    """Print the figures of each load and policy over the seeds."""
    keys = sorted({(each['load_percent'], each['policy']) for each in results})
    print('| load | policy | slowdown | short p95 s | hits/ideal | goodput k/s')
    for load, policy in keys:
        matching = [
            each
            for each in results
            if (each['load_percent'], each['policy']) == (load, policy)
        ]
        with_long = {
            each['seed']: each for each in matching if each['with_long']
        }
        without = {
            each['seed']: each for each in matching if not each['with_long']
        }
        without = without or with_long
        rows = list(with_long.values())
        slowdowns = [
            with_long[seed]['short_p95'] / without[seed]['short_p95']
            for seed in with_long
        ]
        hits = [each['hit_share'] / each['ideal_hit_share'] for each in rows]
        goodputs = [each['goodput_tokens_per_second'] / 1000 for each in rows]
        shorts = [each['short_p95'] for each in rows]
        print(
            f'| {load} | {policy} | {format_spread(slowdowns)}'
            f' | {format_spread(shorts, 3)}'
            f' | {format_spread(hits)} | {format_spread(goodputs, 0)} |',
        )
        refusals = [each['refused'] for each in rows]
        refusal_times = [each['refused_after_p95'] for each in rows]
        print(
            f'|   | refused {format_spread(refusals, 0)}'
            f' after p95 {format_spread(refusal_times, 3)}',
        )
        for each in rows[:1]:
            print_breakdown(each['breakdown'])
        for length in LENGTH_CLASSES:
            cells = [each['times'].get(length) for each in rows]
            cells = [each for each in cells if each]
            figures = ' '.join(
                f'{p} {format_spread([each[p] for each in cells])}'
                for p in ('p50', 'p95', 'p99')
            )
            failed = sum(each['failed'] for each in cells)
            count = sum(each['count'] for each in cells)
            print(f'|   | {length} | {figures} | failed {failed}/{count}')
    sys.stdout.flush()


def main():
    """Run the cases and print the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--engines', type=int, default=20)
    parser.add_argument('--entries', type=int, default=6)
    parser.add_argument('--loads', default='80,95')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--policies', default=','.join(POLICY_NAMES))
    parser.add_argument('--processes', type=int, default=4)
    parser.add_argument('--only-with-long', action='store_true')
    parser.add_argument('--out', default='')
    options = parser.parse_args()
    with ProcessPoolExecutor(options.processes) as pool:
        results = list(pool.map(simulate_case, make_cases(options)))
    if options.out:
        with open(options.out, 'w', encoding='utf-8') as out:
            out.writelines(json.dumps(each) + '\n' for each in results)
    print_report(results)


if __name__ == '__main__':
    main()
