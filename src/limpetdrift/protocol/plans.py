"""Messages between an entry and the planner.

The planner is the entry that decides for all entries which engines process a
prompt. One engine, the writer, decodes the answer; helpers share its prefill.
"""

from dataclasses import dataclass

from xxhash import xxh64_intdigest

from limpetdrift.protocol.bounded import (
    BoundedFloat,
    BoundedInt,
    Count,
    PositiveCount,
    PositiveSeconds,
    Seconds,
    TokenCount,
)

# Cost limit of a request that accepts any plan.
UNLIMITED_COST = 1_000_000_000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineGroup:
    """A part of the engines of a service, with a planner of its own.

    It contains the engines of one failure domain, or of any if
    ``failure_domain`` is empty. In a large failure domain it is one of
    ``bucket_count`` buckets, to which engines and entries are hashed by name.
    The default group contains all engines.
    """

    failure_domain: str = ''
    bucket: Count = 0
    bucket_count: PositiveCount = 1

    def contains(self, failure_domain: str, name: str) -> bool:
        """Return whether an engine or entry belongs to the group."""
        if self.failure_domain not in {'', failure_domain}:
            return False
        return bucket_of(name, self.bucket_count) == self.bucket


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointId:
    """An endpoint's name, and the lifetime that identifies its process."""

    name: str
    lifetime: BoundedInt


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedPlan:
    """A plan that has ended; ``failed`` lists the engines that failed it.

    ``grant`` is the plan's name.
    """

    grant: str
    failed: tuple[EndpointId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanRequest:
    """Asks for a plan for one prompt.

    ``answer_tokens`` is the limit of the answer. ``pause_seconds`` is the
    longest pause within the answer that is still on time. After
    ``patience_seconds`` without an event the caller disconnects. The other
    times count from now: the answer should begin within ``target_seconds``,
    is of no use if it begins after ``seconds_left``, and has ended in any
    case after ``hold_seconds``. ``excluded`` lists engines not to use, neither
    as writer nor as helper.
    ``entry`` names the requesting entry, and ``ended`` lists its ended plans
    that it has not reported yet. ``leaving`` lists engines of the service that
    the entry knows to leave although the list doesn't say so. The plan uses
    engines of ``group`` only, and one that costs more than ``cost_limit`` is
    refused. ``account`` is the client account, which may be empty, and priority
    0 the highest. ``fingerprint`` is the same for each try of one request by
    its caller, and empty if unknown. With ``confirms`` the entry asks again,
    by a ``PlanStart``, when the delay of a tentative plan is over.
    ``is_admitted`` is set if the prompt has waited by an earlier plan, or its
    caller has received a part of the answer: it is not refused for the share
    of its account, and not charged again. One that ``yields`` is probably late
    already, and leaves a part of the slots to others.
    """

    service: str
    entry: str
    prompt_tokens: TokenCount
    answer_tokens: TokenCount
    pause_seconds: BoundedFloat
    patience_seconds: BoundedFloat
    target_seconds: PositiveSeconds
    seconds_left: BoundedFloat
    hold_seconds: BoundedFloat
    failure_domain: str
    excluded: tuple[EndpointId, ...] = ()
    ended: tuple[EndedPlan, ...] = ()
    group: EngineGroup = EngineGroup()
    cost_limit: BoundedFloat = UNLIMITED_COST
    leaving: tuple[EndpointId, ...] = ()
    account: str = ''
    priority: BoundedInt = 0
    fingerprint: str = ''
    confirms: bool = False
    is_admitted: bool = False
    yields: bool = False

    @property
    def memory_tokens(self) -> int:
        """The memory that prompt and answer need together."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservedTokens:
    """Memory to reserve at a helper before the request is sent."""

    endpoint: EndpointId
    tokens: TokenCount


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingOrder:
    """The place of a waiting prompt among those that wait.

    All times count from when the plan was made. The prompt must start within
    ``slack_seconds`` to be on time, and has waited ``waited_seconds``. It was
    passed over ``passes`` times, first ``passed_seconds`` ago.
    ``account_share`` is its client account's share of the engine time that was
    used lately.
    """

    priority: BoundedInt
    slack_seconds: BoundedFloat
    account_share: BoundedFloat = 0.0
    waited_seconds: BoundedFloat = 0.0
    passes: BoundedInt = 0
    passed_seconds: BoundedFloat = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The engines that process one prompt, and the memory to reserve.

    ``grant`` is the plan's name. The writer and each helper prefill one part
    of the prompt. The request is sent after ``delay_seconds``, when the
    engines have finished the prefill that was planned for them before.
    ``read_seconds`` is the expected time to the first token, delay included.
    The plan counts as ended after ``hold_seconds`` in any case. ``cost`` is
    what the planner expects it to lose, in the worth of one short answer.
    ``permitted`` lists those engines that limit their rate and whose part of
    the plan is counted there. A plan with ``waiting`` is tentative: it is to be
    confirmed when its delay is over. ``alternative`` is the other group with
    the least expected load, ``None`` if its planner knows of none. It is asked
    before this group while ``prefers_alternative``. Raises ``ValueError`` if
    memory is reserved at an engine that has no part in the plan.
    """

    grant: str
    writer: EndpointId
    helpers: tuple[EndpointId, ...] = ()
    reserved: tuple[ReservedTokens, ...] = ()
    delay_seconds: Seconds = 0.0
    read_seconds: BoundedFloat = 0.0
    hold_seconds: BoundedFloat = 0.0
    cost: BoundedFloat = 0.0
    permitted: tuple[EndpointId, ...] = ()
    waiting: WaitingOrder | None = None
    alternative: EngineGroup | None = None
    prefers_alternative: bool = False

    def __post_init__(self) -> None:
        for reserved in self.reserved:
            if reserved.endpoint not in {self.writer, *self.helpers}:
                name = reserved.endpoint.name
                raise ValueError(f'reserved: {name} has no part')


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanStart:
    """Asks what to do with a prompt whose delay is over.

    ``grant`` names its tentative plan, and ``request`` is the request as it is
    now. The answer is a ``Plan`` with the same grant, possibly with other
    engines or a further delay, or a refusal.
    """

    grant: str
    request: PlanRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedPlans:
    """Reports to the planner which plans of a service have ended.

    ``leaving`` is that of a ``PlanRequest``. ``full`` lists engines that turned
    requests away, though the plans found room there.
    """

    service: str
    ended: tuple[EndedPlan, ...]
    leaving: tuple[EndpointId, ...] = ()
    full: tuple[EndpointId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ActivePlan:
    """A plan in force, its request, and the time since it was put into use.

    Entries report these to a new planner.
    """

    plan: Plan
    request: PlanRequest
    age_seconds: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountUsage:
    """Engine seconds charged to a client account for plans of a service.

    They are decayed to the time of the report.
    """

    service: str
    account: str
    engine_seconds: BoundedFloat


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReport:
    """What accounts were charged for plans of one entry in one group."""

    entry: str
    group: EngineGroup
    accounts: tuple[AccountUsage, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ActivePlans:
    """All plans in force of one entry.

    ``usage`` includes the charges for these plans; earlier builds send none.
    """

    active: tuple[ActivePlan, ...]
    usage: UsageReport | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupLoad:
    """The load on a group of engines, a digest for other groups' planners.

    ``planner`` made it at ``made_at``, in seconds on its own clock.
    ``engines`` counts the usable engines, ``failing`` those of them that
    failed lately. The other figures are those of the rest:
    ``backlog_seconds`` of booked prefill for each engine on average,
    ``free_tokens`` of memory, and ``free_slots`` of ``slots``, negative while
    requests queue at engines. ``waiting`` counts the prompts that wait, by
    priority from 0 on, and ``refused`` those refused lately.
    """

    service: str
    group: EngineGroup
    planner: str = ''
    made_at: BoundedFloat = 0.0
    engines: Count = 0
    failing: Count = 0
    backlog_seconds: BoundedFloat = 0.0
    free_tokens: BoundedInt = 0
    free_slots: BoundedInt = 0
    slots: Count = 0
    waiting: tuple[BoundedInt, ...] = ()
    refused: Count = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Acknowledgement:
    """Confirms that a report was processed."""


def bucket_of(name: str, bucket_count: int) -> int:
    """Return the bucket, from 0 on, to which a name is hashed.

    >>> bucket_of('engine-1', 1)
    0
    """
    if bucket_count == 1:
        return 0
    return xxh64_intdigest(name.encode()) % bucket_count
