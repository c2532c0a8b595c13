"""Messages between an entry and the one that plans for its engines."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointId:
    """An endpoint's name and lifetime."""

    name: str
    lifetime: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedPlan:
    """A plan that has ended; ``failed`` names engines that failed it."""

    grant: str
    failed: tuple[EndpointId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanRequest:
    """Asks where a prompt is read and its answer written.

    ``pause_seconds`` is the longest pause that the answer bears, after
    ``patience_seconds`` without an event its caller leaves,
    ``target_seconds`` when it should begin, ``seconds_left`` when that is no
    use any more, and ``hold_seconds`` when it has ended in any case.
    ``ended`` lists plans of the same entry that have ended; ``entry`` names
    it.
    """

    service: str
    entry: str
    prompt_tokens: int
    answer_tokens: int
    pause_seconds: float
    patience_seconds: float
    target_seconds: float
    seconds_left: float
    hold_seconds: float
    failure_domain: str
    excluded: tuple[EndpointId, ...] = ()
    ended: tuple[EndedPlan, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """The memory that prompt and answer need."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservedTokens:
    """Memory to set aside at an engine before the request is sent."""

    endpoint: EndpointId
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Who writes the answer, who helps to read, and what is set aside.

    The writer reads one part and each helper another. The request is sent
    after ``delay_seconds``, when its engines have read what was planned for
    them before. ``read_seconds`` is the expected time to the first token,
    delay included; the plan counts as ended after ``hold_seconds`` in any
    case.
    """

    grant: str
    writer: EndpointId
    helpers: tuple[EndpointId, ...] = ()
    reserved: tuple[ReservedTokens, ...] = ()
    delay_seconds: float = 0.0
    read_seconds: float = 0.0
    hold_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedPlans:
    """Tells the planner of plans that have ended."""

    service: str
    ended: tuple[EndedPlan, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ActivePlan:
    """A plan in force, told to a new planner with the seconds it is old."""

    plan: Plan
    request: PlanRequest
    age_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ActivePlans:
    """All plans of one entry."""

    active: tuple[ActivePlan, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Acknowledgement:
    """Says that news was taken in."""
