"""Decides the order of prompts that wait for engines.

Answers a wave of the longest prompts that meets a burst of short ones, and
demand beyond what the engines can prefill: a prompt with an earlier latest
start is planned as if those that only wait had booked nothing, and those are
planned anew before they are sent. A bound on being passed over keeps the
longest from waiting until they are late. All functions depend only on their
arguments.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from limpetdrift.coordination.engines.engine_cost_model import prefill_seconds
from limpetdrift.coordination.engines.split_costs import (
    PART_COUNTS,
)
from limpetdrift.protocol.plans import Plan, PlanRequest, WaitingOrder
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import EndpointIdentity

# Plans with a longer delay are tentative. With a shorter one, the message to
# confirm the plan takes a large part of the delay.
TENTATIVE_DELAY_SECONDS = 0.1
# Bounds on being passed over, from when it first happens. Without them, a
# stream of more urgent prompts would delay a long one until it is refused.
MAX_PASSED_SECONDS = 2.0
MAX_PASSES = 3
# Time after its planned start within which a waiting prompt is confirmed. It
# exceeds the timeout of the confirmation, after which the prompt is sent
# without one and its bookings count for all.
CONFIRMATION_GRACE_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingPrompt:
    """A prompt that waits, or one that arrives and has no ``engines`` yet.

    Times are the planner's. ``latest_start_at`` is when it must start to be on
    time. ``account_share`` is its client account's share of the engine time
    that was used lately. The prompt is due to start at ``starts_at``. It was
    first passed over at ``passed_since``. Engines in ``permitted`` limit their
    rate, and its call is counted there already.
    """

    grant: str
    service: str
    priority: int
    latest_start_at: float
    account_share: float
    arrived_at: float
    starts_at: float
    passes: int = 0
    passed_since: float = float('inf')
    engines: frozenset[EndpointIdentity] = frozenset()
    permitted: frozenset[EndpointIdentity] = frozenset()


def make_arrival(
    request: PlanRequest,
    cost_model: EngineCostModel,
    now: float,
    account_share: float = 0.0,
) -> WaitingPrompt:
    """Return the place in the order of a prompt that is planned first now."""
    least_seconds = prefill_seconds(
        cost_model, request.prompt_tokens, PART_COUNTS[-1]
    )
    return WaitingPrompt(
        grant='',
        service=request.service,
        priority=request.priority,
        latest_start_at=now + request.target_seconds - least_seconds,
        account_share=account_share,
        arrived_at=now,
        starts_at=now,
    )


def may_wait(request: PlanRequest, parts: int, delay_seconds: float) -> bool:
    """Return whether a plan is tentative until its prompt is sent."""
    return (
        request.confirms
        and (parts > 1 or request.yields)
        and delay_seconds > TENTATIVE_DELAY_SECONDS
    )


def is_protected(prompt: WaitingPrompt, now: float) -> bool:
    """Return whether a prompt must not be passed over any more."""
    is_too_long = now - prompt.passed_since >= MAX_PASSED_SECONDS
    return is_too_long or prompt.passes >= MAX_PASSES


def is_overdue(prompt: WaitingPrompt, now: float) -> bool:
    """Return whether a prompt was sent although it wasn't confirmed."""
    return now > prompt.starts_at + CONFIRMATION_GRACE_SECONDS


def order_key(
    prompt: WaitingPrompt, now: float
) -> tuple[bool, int, float, float, float]:
    """Return the sort key of a prompt; the first one is planned first."""
    return (
        not is_protected(prompt, now),
        prompt.priority,
        prompt.latest_start_at,
        prompt.account_share,
        prompt.arrived_at,
    )


def find_passable(
    waiting: Iterable[WaitingPrompt], prompt: WaitingPrompt, now: float
) -> frozenset[str]:
    """Return the grants of the prompts that come after ``prompt``."""
    key = order_key(prompt, now)
    return frozenset(
        each.grant
        for each in waiting
        if each.service == prompt.service and order_key(each, now) > key
    )


def is_passed_over(
    prompt: WaitingPrompt, engines: frozenset[EndpointIdentity], until: float
) -> bool:
    """Return whether a plan that takes engines until a time delays a prompt."""
    return until > prompt.starts_at and not engines.isdisjoint(prompt.engines)


def pass_over(prompt: WaitingPrompt, now: float) -> WaitingPrompt:
    """Return a prompt that has been passed over once more."""
    return replace(
        prompt,
        passes=prompt.passes + 1,
        passed_since=min(now, prompt.passed_since),
    )


def describe_order(prompt: WaitingPrompt, now: float) -> WaitingOrder:
    """Return a prompt's place in the order, with times relative to now."""
    is_passed = prompt.passes > 0
    return WaitingOrder(
        priority=prompt.priority,
        slack_seconds=prompt.latest_start_at - now,
        account_share=prompt.account_share,
        waited_seconds=now - prompt.arrived_at,
        passes=prompt.passes,
        passed_seconds=now - prompt.passed_since if is_passed else 0.0,
    )


def read_order(
    plan: Plan, order: WaitingOrder, service: str, planned_at: float
) -> WaitingPrompt:
    """Return the waiting prompt of a plan that was made at ``planned_at``."""
    return WaitingPrompt(
        grant=plan.grant,
        service=service,
        priority=order.priority,
        latest_start_at=planned_at + order.slack_seconds,
        account_share=order.account_share,
        arrived_at=planned_at - order.waited_seconds,
        starts_at=planned_at + plan.delay_seconds,
        passes=order.passes,
        passed_since=(
            planned_at - order.passed_seconds if order.passes else float('inf')
        ),
        engines=frozenset(
            (each.name, each.lifetime) for each in (plan.writer, *plan.helpers)
        ),
        permitted=frozenset(
            (each.name, each.lifetime) for each in plan.permitted
        ),
    )
