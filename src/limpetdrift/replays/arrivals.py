"""Draws the requests of a load: Poisson arrivals with bursts, seeded.

Each kind has a generator of its own, so a burst of one moves no other.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from limpetdrift.replays.workload import Case, Kind, Workload

_LEAST_TOKENS = 16
# Answers are so many times as long as their kind's mean.
_EVENTS_SPREAD = (0.5, 1.5)


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request to come, at a time from the start of the load."""

    number: int
    at: float
    kind: str
    account: str
    tokens: int
    events: int


def draw_arrivals(
    load: Workload,
    case: Case,
    seed: int,
) -> tuple[Arrival, ...]:
    """Return all requests of a run in the order of their times."""
    drawn = [
        (at, name, random.Random(f'{seed}/{name}/{at}'))
        for name in load.kinds
        for at in _times(load, case, name, random.Random(f'{seed}/{name}'))
    ]
    drawn.sort(key=lambda each: each[:2])
    accounts = case.accounts or load.accounts
    return tuple(
        _draw_one(load, accounts, number, each)
        for number, each in enumerate(drawn)
    )


def _draw_one(
    load: Workload,
    accounts: dict[str, float],
    number: int,
    drawn: tuple[float, str, random.Random],
) -> Arrival:
    at, name, shapes = drawn
    kind = load.kinds[name]
    return Arrival(
        number=number,
        at=at,
        kind=name,
        account=shapes.choices(list(accounts), list(accounts.values()))[0],
        tokens=_draw_tokens(kind, shapes),
        events=max(1, round(kind.events * shapes.uniform(*_EVENTS_SPREAD))),
    )


def _draw_tokens(kind: Kind, shapes: random.Random) -> int:
    """Draw a length whose mean is the kind's before it is cut."""
    middle = math.log(kind.prompt_tokens) - kind.spread**2 / 2
    drawn = int(shapes.lognormvariate(middle, kind.spread))
    return min(kind.most_tokens, max(_LEAST_TOKENS, drawn))


def _times(
    load: Workload,
    case: Case,
    name: str,
    times: random.Random,
) -> Iterator[float]:
    """Draw at the highest rate, and keep what the rate of the time allows."""
    rate = load.kinds[name].rate * case.scale
    most = rate * max((1.0, *(burst.times for burst in case.bursts)))
    at = times.expovariate(most)
    while at < load.duration_seconds:
        if times.random() * most < rate * _times_at(case, name, at):
            yield at
        at += times.expovariate(most)


def _times_at(case: Case, name: str, at: float) -> float:
    factor = 1.0
    for burst in case.bursts:
        concerned = not burst.kind or burst.kind == name
        if concerned and burst.covers(at):
            factor *= burst.times
    return factor
