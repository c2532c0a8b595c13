"""The prompts that a model engine has still to read, and in which order."""

from dataclasses import dataclass, field

import trio

from limpetdrift.coordination.engine_cost_model import prefill_seconds
from limpetdrift.protocol.route_table import EngineCostModel


@dataclass(kw_only=True, eq=False)
class PrefillTask:
    """A prompt, or one part of it, at one engine."""

    tokens_left: float
    seconds_a_token: float
    rank: tuple[int, ...]
    done: trio.Event = field(default_factory=trio.Event)

    def advance(self, tokens: float) -> None:
        """Count tokens as read."""
        self.tokens_left -= tokens
        if self.tokens_left <= 0:
            self.done.set()


class PrefillQueue:
    """Readings by rank: parts first and the newest of them before others."""

    def __init__(self, *, law: EngineCostModel) -> None:
        self._law = law
        self._readings: list[PrefillTask] = []
        self._entered = 0

    @property
    def has_pending(self) -> bool:
        """Whether anything is left to read."""
        return any(each.tokens_left > 0 for each in self._readings)

    def add(self, tokens: int, parts: int, urgency: int) -> PrefillTask:
        """Queue one of the even parts of a prompt; one part is all of it."""
        self._entered += 1
        rank = (1, urgency, self._entered)
        if parts > 1:
            rank = (0, -self._entered)
        share = tokens / parts
        reading = PrefillTask(
            tokens_left=share,
            seconds_a_token=prefill_seconds(self._law, tokens, parts) / share,
            rank=rank,
        )
        self._readings.append(reading)
        return reading

    def drop(self, reading: PrefillTask) -> None:
        """Forget a reading, ended or not."""
        if reading in self._readings:
            self._readings.remove(reading)

    def clear(self) -> None:
        """Forget all."""
        self._readings.clear()

    def next_chunk(
        self, budget: float
    ) -> tuple[float, list[tuple[PrefillTask, float]]]:
        """Return what is read with so many tokens, and how long it takes."""
        chosen, took = [], 0.0
        waiting = [each for each in self._readings if each.tokens_left > 0]
        for reading in sorted(waiting, key=lambda each: each.rank):
            tokens = min(budget, reading.tokens_left)
            if tokens <= 0:
                break
            budget -= tokens
            took += tokens * reading.seconds_a_token
            chosen.append((reading, tokens))
        return took, chosen
