"""Generates the requests of a run: Poisson arrivals from a seed.

Runs with the same load and seed send the same short requests, with and
without the long ones and under every policy, so that they can be compared.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from limpetdrift.loads.experiment import Experiment, Length, Mix, RunSpec
from limpetdrift.protocol.openai import ChatMessage
from limpetdrift.protocol.prompts import BLOCK_TOKENS, TOKEN_BYTES
from limpetdrift.state.prefixes import RecentPrefixes

# Shape of the Pareto distribution from which prefix groups are drawn.
_POPULARITY_EXPONENT = 0.8
# Characters that the chat template adds to the content of one user message.
_TEMPLATE_CHARACTERS = 17


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request to send, ``at`` seconds after the start of the run.

    ``group`` is the group of prompts with which it shares a prefix, or 0.
    """

    number: int
    seed: int
    at: float
    length: Length
    account: str
    group: int
    max_tokens: int

    @property
    def shared_tokens(self) -> int:
        """The length of the prefix that all prompts of the group share."""
        if not self.group:
            return 0
        return int(self.length.tokens * self.length.shared)


@dataclass(frozen=True, kw_only=True, slots=True)
class _ArrivalTime:
    seed: int
    number: int
    at: float


def draw_case(experiment: Experiment, case: RunSpec) -> tuple[Arrival, ...]:
    """Return the requests of one run, in order of arrival."""
    rate = arrival_rate(experiment, case)
    drawn = draw_arrivals(experiment, case.seed, rate)
    if case.with_long:
        return drawn
    return tuple(each for each in drawn if not each.length.long)


def arrival_rate(experiment: Experiment, case: RunSpec) -> float:
    """Return the requests per second that produce the load of the run.

    Prompt tokens that one cache of all engines' memory would hit need no
    prefill, so they don't count as load.
    """
    sizes = experiment.sizes
    capacity = sizes.engines * sizes.prefill_tokens_per_second * case.load
    trial_rate = capacity / mean_tokens(experiment.mix)
    trial = draw_arrivals(experiment, case.seed, trial_rate)
    return trial_rate / (1 - ideal_hit_share(experiment, trial))


def draw_arrivals(
    experiment: Experiment,
    seed: int,
    per_second: float,
) -> tuple[Arrival, ...]:
    """Return all requests at a rate, the long ones included."""
    mix = experiment.mix
    time_randomness = random.Random(f'times/{seed}')
    shape_randomness = random.Random(f'shapes/{seed}')
    drawn = []
    for number, at in enumerate(_poisson(time_randomness, per_second)):
        if at > mix.duration_seconds:
            break
        arrival_time = _ArrivalTime(seed=seed, number=number, at=at)
        drawn.append(_draw_one(experiment, shape_randomness, arrival_time))
    return tuple(drawn)


def mean_tokens(mix: Mix) -> float:
    """Return the mean prompt length, including tokens that may be cached."""
    short = _mean([each for each in mix.lengths if not each.long])
    long = _mean([each for each in mix.lengths if each.long]) or short
    return short + (long - short) / mix.long_every


def ideal_hit_share(
    experiment: Experiment,
    arrivals: tuple[Arrival, ...],
) -> float:
    """Return the hit rate of one cache as large as all engines' memory.

    The rate is a share of the prompt tokens.
    """
    sizes = experiment.sizes
    limit = sizes.engines * sizes.memory_tokens // BLOCK_TOKENS
    cache = RecentPrefixes(limit_blocks=limit)
    hits, total = 0, 0
    for arrival in arrivals:
        blocks = _block_hashes(arrival)
        hits += cache.matched_tokens(blocks)
        total += arrival.length.tokens
        cache.add(blocks)
    return hits / max(1, total)


def make_messages(arrival: Arrival) -> tuple[ChatMessage, ...]:
    """Return the request's prompt: the shared prefix, then a unique text."""
    size = arrival.length.tokens * TOKEN_BYTES - _TEMPLATE_CHARACTERS
    shared_size = arrival.shared_tokens * TOKEN_BYTES
    tokens = arrival.length.tokens
    prefix = f'group {arrival.group} of {tokens}: '
    suffix = f'request {arrival.number} of {arrival.seed}: '
    text = _repeat(prefix, shared_size) + _repeat(suffix, size - shared_size)
    return (ChatMessage(role='user', content=text),)


def _draw_one(
    experiment: Experiment,
    randomness: random.Random,
    arrival_time: _ArrivalTime,
) -> Arrival:
    mix, accounts = experiment.mix, experiment.accounts
    is_long = arrival_time.number % mix.long_every == mix.long_every // 2
    # Both lengths are always drawn, so that the draws that follow don't
    # depend on which of them is used.
    short = _choose(randomness, [each for each in mix.lengths if not each.long])
    long = _choose(randomness, [each for each in mix.lengths if each.long])
    popularity_rank = int(randomness.paretovariate(_POPULARITY_EXPONENT))
    grouped = randomness.random() < mix.grouped
    return Arrival(
        number=arrival_time.number,
        seed=arrival_time.seed,
        at=arrival_time.at,
        length=(is_long and long) or short or mix.lengths[0],
        account=randomness.choices(
            list(accounts),
            [each.weight for each in accounts.values()],
        )[0],
        group=min(popularity_rank, mix.groups) if grouped else 0,
        max_tokens=randomness.choice(mix.max_tokens),
    )


def _choose(randomness: random.Random, lengths: list[Length]) -> Length | None:
    if not lengths:
        return None
    weights = [each.weight for each in lengths]
    return randomness.choices(lengths, weights)[0]


def _poisson(randomness: random.Random, per_second: float) -> Iterator[float]:
    gaps = (randomness.expovariate(per_second) for _ in itertools.count())
    return itertools.accumulate(gaps)


def _mean(lengths: list[Length]) -> float:
    total = sum(each.weight for each in lengths)
    weighted = sum(each.tokens * each.weight for each in lengths)
    return weighted / total if total else 0


def _block_hashes(arrival: Arrival) -> tuple[int, ...]:
    shared = arrival.shared_tokens // BLOCK_TOKENS
    count = arrival.length.tokens // BLOCK_TOKENS
    prefix = (arrival.length.tokens, arrival.group)
    suffix = (arrival.seed, arrival.number)
    return tuple(
        hash((prefix if index < shared else suffix, index))
        for index in range(count)
    )


def _repeat(text: str, size: int) -> str:
    return (text * (size // len(text) + 1))[:size]
