"""Keeps the plans of a planner whose prompts have not been sent yet."""

from collections.abc import Callable

from limpetdrift import telemetry
from limpetdrift.coordination.engines.prompt_splitting import (
    Split,
)
from limpetdrift.coordination.scheduling.waiting import (
    WaitingPrompt,
    find_passable,
    is_overdue,
    is_passed_over,
    pass_over,
    read_order,
)
from limpetdrift.protocol.plans import Plan


class TentativePlans:
    """The waiting prompts, by the grants of their plans.

    ``clock`` returns seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: dict[str, WaitingPrompt] = {}

    def __len__(self) -> int:
        """Return the number of waiting prompts."""
        return len(self._waiting)

    def find(self, grant: str) -> WaitingPrompt | None:
        """Return the waiting prompt of a plan, if it has one."""
        return self._waiting.get(grant)

    def add(self, plan: Plan, service: str, age_seconds: float) -> None:
        """Add the prompt of a plan that is tentative and not overdue."""
        if plan.waiting is None:
            return
        now = self._clock()
        prompt = read_order(plan, plan.waiting, service, now - age_seconds)
        if not is_overdue(prompt, now):
            self._waiting[plan.grant] = prompt

    def pop(self, grant: str) -> WaitingPrompt | None:
        """Remove and return the waiting prompt of a plan, if it has one."""
        return self._waiting.pop(grant, None)

    def find_passable(self, prompt: WaitingPrompt) -> frozenset[str]:
        """Return the plans whose bookings a prompt may ignore now."""
        if not self._waiting:
            return frozenset()
        now = self._clock()
        for each in tuple(self._waiting.values()):
            if is_overdue(each, now):
                self._waiting.pop(each.grant)
        return find_passable(self._waiting.values(), prompt, now)

    def record_passes(
        self,
        passable: frozenset[str],
        split: Split,
    ) -> None:
        """Count those of the ``passable`` plans that a new plan delays."""
        now = self._clock()
        until = now + split.delay_seconds + split.part_seconds
        engines = split.identities
        for grant in passable:
            prompt = self._waiting[grant]
            if is_passed_over(prompt, engines, until):
                telemetry.count('prompts_passed_over', priority=prompt.priority)
                self._waiting[grant] = pass_over(prompt, now)
