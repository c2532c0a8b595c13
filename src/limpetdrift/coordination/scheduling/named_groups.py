"""Keeps which other group of engines a planner named last to this entry.

Answers an overload of one group in which prompts are refused: a refusal names
no group, so the entry asks the one that the planner named in a plan before.
"""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift.protocol.plans import EngineGroup, Plan, PlanRequest

# Time for which an entry asks the group that was named to it last. It is longer
# than the time between two prompts of an entry under load, and shorter than the
# time in which the loads of groups change.
NAME_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedGroup:
    """A group that was named to an entry; asked first if ``is_preferred``."""

    group: EngineGroup
    is_preferred: bool
    named_at: float


class NamedGroups:
    """Keeps which other group a planner named last to this entry.

    Names that are older than ``NAME_SECONDS`` don't count.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._named: dict[tuple[str, EngineGroup], NamedGroup] = {}

    def record(self, plan: Plan, request: PlanRequest) -> None:
        """Record the group that a plan names, if any."""
        if plan.alternative is not None:
            self._named[(request.service, request.group)] = NamedGroup(
                group=plan.alternative,
                is_preferred=plan.prefers_alternative,
                named_at=self._clock(),
            )

    def first(self, service: str, home: EngineGroup) -> EngineGroup:
        """Return the group that is asked first: ``home``, if not another."""
        named = self._recent(service, home)
        return named.group if named and named.is_preferred else home

    def second(self, service: str, group: EngineGroup) -> EngineGroup | None:
        """Return the group that is asked after ``group``, if one is known."""
        named = self._recent(service, group)
        return named.group if named else None

    def _recent(self, service: str, group: EngineGroup) -> NamedGroup | None:
        if not self._named:
            return None
        named = self._named.get((service, group))
        if named and self._clock() - named.named_at > NAME_SECONDS:
            return None
        return named
