"""Generates the requests of a run: Poisson arrivals with bursts, from a seed.

Each kind of request has its own random generator, so that a burst of one kind
doesn't change the arrivals of the others.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from limpetdrift.replays.workload import Case, Kind, Workload

_MIN_TOKENS = 16
# An answer's length is that of its kind times a uniform factor in this range.
_EVENTS_FACTOR = (0.5, 1.5)


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request to send, ``at`` seconds after the start of the run."""

    number: int
    at: float
    kind: str
    account: str
    tokens: int
    events: int


def draw_arrivals(
    workload: Workload,
    case: Case,
    seed: int,
) -> tuple[Arrival, ...]:
    """Return all requests of a run in order of arrival."""
    drawn = [
        (at, name, random.Random(f'{seed}/{name}/{at}'))
        for name in workload.kinds
        for at in _draw_times(
            workload, case, name, random.Random(f'{seed}/{name}')
        )
    ]
    drawn.sort(key=lambda each: each[:2])
    accounts = case.accounts or workload.accounts
    return tuple(
        _draw_one(workload, accounts, number, each)
        for number, each in enumerate(drawn)
    )


def _draw_one(
    workload: Workload,
    accounts: dict[str, float],
    number: int,
    drawn: tuple[float, str, random.Random],
) -> Arrival:
    at, name, randomness = drawn
    kind = workload.kinds[name]
    return Arrival(
        number=number,
        at=at,
        kind=name,
        account=randomness.choices(list(accounts), list(accounts.values()))[0],
        tokens=_draw_tokens(kind, randomness),
        events=max(1, round(kind.events * randomness.uniform(*_EVENTS_FACTOR))),
    )


def _draw_tokens(kind: Kind, randomness: random.Random) -> int:
    """Draw a prompt length; the kind's mean holds before it is clamped."""
    log_mean = math.log(kind.prompt_tokens) - kind.spread**2 / 2
    drawn = int(randomness.lognormvariate(log_mean, kind.spread))
    return min(kind.most_tokens, max(_MIN_TOKENS, drawn))


def _draw_times(
    workload: Workload,
    case: Case,
    name: str,
    randomness: random.Random,
) -> Iterator[float]:
    """Draw arrival times by thinning a Poisson process of the peak rate."""
    rate = workload.kinds[name].rate * case.scale
    peak_rate = rate * max((1.0, *(burst.times for burst in case.bursts)))
    at = randomness.expovariate(peak_rate)
    while at < workload.duration_seconds:
        if randomness.random() * peak_rate < rate * _rate_factor(
            case, name, at
        ):
            yield at
        at += randomness.expovariate(peak_rate)


def _rate_factor(case: Case, name: str, at: float) -> float:
    factor = 1.0
    for burst in case.bursts:
        is_affected = not burst.kind or burst.kind == name
        if is_affected and burst.covers(at):
            factor *= burst.times
    return factor
