"""Orders the prompts that a simulated model engine has to prefill."""

from dataclasses import dataclass, field

import trio

from limpetdrift.coordination.engines.engine_cost_model import prefill_seconds
from limpetdrift.protocol.route_table import EngineCostModel


@dataclass(kw_only=True, eq=False)
class PrefillTask:
    """The prefill of a prompt, or of one part of it; lowest ``rank`` first."""

    tokens_left: float
    seconds_per_token: float
    rank: tuple[int, ...]
    done: trio.Event = field(default_factory=trio.Event)

    def advance(self, tokens: float) -> None:
        """Record tokens as prefilled."""
        self.tokens_left -= tokens
        if self.tokens_left <= 0:
            self.done.set()


class PrefillQueue:
    """Prefill tasks by rank.

    Parts of split prompts come first, the newest before the others. Whole
    prompts follow by urgency, the oldest first.
    """

    def __init__(self, *, cost_model: EngineCostModel) -> None:
        self._cost_model = cost_model
        self._tasks: list[PrefillTask] = []
        self._added = 0

    @property
    def has_pending(self) -> bool:
        """Whether tokens are left to prefill."""
        return any(each.tokens_left > 0 for each in self._tasks)

    def add(self, tokens: int, parts: int, urgency: int) -> PrefillTask:
        """Queue one of ``parts`` equal parts of a prompt; return its task.

        ``tokens`` is the length of the whole prompt.
        """
        self._added += 1
        rank = (1, urgency, self._added)
        if parts > 1:
            rank = (0, -self._added)
        part_tokens = tokens / parts
        task = PrefillTask(
            tokens_left=part_tokens,
            seconds_per_token=prefill_seconds(self._cost_model, tokens, parts)
            / part_tokens,
            rank=rank,
        )
        self._tasks.append(task)
        return task

    def remove(self, task: PrefillTask) -> None:
        """Remove a task, ended or not, if it is present."""
        if task in self._tasks:
            self._tasks.remove(task)

    def clear(self) -> None:
        """Remove all tasks."""
        self._tasks.clear()

    def next_chunk(
        self, budget: float
    ) -> tuple[float, list[tuple[PrefillTask, float]]]:
        """Return the prefill of at most ``budget`` tokens: seconds and tasks.

        Each task comes with the number of its tokens to prefill.
        """
        chosen, seconds = [], 0.0
        waiting = [each for each in self._tasks if each.tokens_left > 0]
        for task in sorted(waiting, key=lambda each: each.rank):
            tokens = min(budget, task.tokens_left)
            if tokens <= 0:
                break
            budget -= tokens
            seconds += tokens * task.seconds_per_token
            chosen.append((task, tokens))
        return seconds, chosen
