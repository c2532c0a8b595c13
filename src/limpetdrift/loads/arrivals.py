"""Draws the requests of a case: Poisson arrivals, seeded.

The short requests of a seed are the same with and without the long ones, and
the same for each policy.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from limpetdrift.loads.experiment import Experiment, Length, Mix, RunSpec
from limpetdrift.protocol.openai import ChatMessage
from limpetdrift.protocol.prompts import BLOCK_TOKENS, TOKEN_BYTES
from limpetdrift.state.prefixes import RecentPrefixes

_POPULARITY_EXPONENT = 0.8
_OVERHEAD_CHARACTERS = 17


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request to come; ``group`` is 0 where it shares no prefix."""

    number: int
    seed: int
    at: float
    length: Length
    account: str
    group: int
    max_tokens: int

    @property
    def shared_tokens(self) -> int:
        """The part of the prompt that others of its group have too."""
        if not self.group:
            return 0
        return int(self.length.tokens * self.length.shared)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Place:
    seed: int
    number: int
    at: float


def draw_case(experiment: Experiment, case: RunSpec) -> tuple[Arrival, ...]:
    """Return the requests of one case, in order."""
    rate = arrival_rate(experiment, case)
    drawn = draw_arrivals(experiment, case.seed, rate)
    if case.with_long:
        return drawn
    return tuple(each for each in drawn if not each.length.long)


def arrival_rate(experiment: Experiment, case: RunSpec) -> float:
    """Return the requests a second that make up the case's load.

    What one cache over all engines would hit is no work, so it is left out.
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
    """Draw all requests at a rate, long ones with them."""
    mix = experiment.mix
    times = random.Random(f'times/{seed}')
    shapes = random.Random(f'shapes/{seed}')
    drawn = []
    for number, at in enumerate(_poisson(times, per_second)):
        if at > mix.duration_seconds:
            break
        place = _Place(seed=seed, number=number, at=at)
        drawn.append(_draw_one(experiment, shapes, place))
    return tuple(drawn)


def mean_tokens(mix: Mix) -> float:
    """Return the mean prompt, all of it counted as work."""
    short = _mean([each for each in mix.lengths if not each.long])
    long = _mean([each for each in mix.lengths if each.long]) or short
    return short + (long - short) / mix.long_every


def ideal_hit_share(
    experiment: Experiment,
    arrivals: tuple[Arrival, ...],
) -> float:
    """Return the share of tokens that one cache over all would hit."""
    sizes = experiment.sizes
    limit = sizes.engines * sizes.memory_tokens // BLOCK_TOKENS
    cache = RecentPrefixes(limit_blocks=limit)
    hits, total = 0, 0
    for arrival in arrivals:
        blocks = _block_names(arrival)
        hits += cache.matched_tokens(blocks)
        total += arrival.length.tokens
        cache.add(blocks)
    return hits / max(1, total)


def messages_of(arrival: Arrival) -> tuple[ChatMessage, ...]:
    """Return the request's prompt: what is shared, then its own."""
    size = arrival.length.tokens * TOKEN_BYTES - _OVERHEAD_CHARACTERS
    shared_size = arrival.shared_tokens * TOKEN_BYTES
    tokens = arrival.length.tokens
    common = f'group {arrival.group} of {tokens}: '
    own = f'request {arrival.number} of {arrival.seed}: '
    text = _fill(common, shared_size) + _fill(own, size - shared_size)
    return (ChatMessage(role='user', content=text),)


def _draw_one(
    experiment: Experiment,
    shapes: random.Random,
    place: _Place,
) -> Arrival:
    mix, accounts = experiment.mix, experiment.accounts
    is_long = place.number % mix.long_every == mix.long_every // 2
    # Both are drawn each time, so that the later draws stay the same.
    short = _choose(shapes, [each for each in mix.lengths if not each.long])
    long = _choose(shapes, [each for each in mix.lengths if each.long])
    popular = int(shapes.paretovariate(_POPULARITY_EXPONENT))
    grouped = shapes.random() < mix.grouped
    return Arrival(
        number=place.number,
        seed=place.seed,
        at=place.at,
        length=(is_long and long) or short or mix.lengths[0],
        account=shapes.choices(
            list(accounts),
            [each.weight for each in accounts.values()],
        )[0],
        group=min(popular, mix.groups) if grouped else 0,
        max_tokens=shapes.choice(mix.max_tokens),
    )


def _choose(shapes: random.Random, lengths: list[Length]) -> Length | None:
    if not lengths:
        return None
    weights = [each.weight for each in lengths]
    return shapes.choices(lengths, weights)[0]


def _poisson(times: random.Random, per_second: float) -> Iterator[float]:
    gaps = (times.expovariate(per_second) for _ in itertools.count())
    return itertools.accumulate(gaps)


def _mean(lengths: list[Length]) -> float:
    total = sum(each.weight for each in lengths)
    weighted = sum(each.tokens * each.weight for each in lengths)
    return weighted / total if total else 0


def _block_names(arrival: Arrival) -> tuple[int, ...]:
    shared = arrival.shared_tokens // BLOCK_TOKENS
    count = arrival.length.tokens // BLOCK_TOKENS
    common = (arrival.length.tokens, arrival.group)
    own = (arrival.seed, arrival.number)
    return tuple(
        hash((common if index < shared else own, index))
        for index in range(count)
    )


def _fill(words: str, size: int) -> str:
    return (words * (size // len(words) + 1))[:size]
