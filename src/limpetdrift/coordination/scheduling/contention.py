"""Decides whether an account is above its share while engines are contended.

Answers one account that sends many times its usual load: what each account of a
pool of engines used and was refused is kept, and decays.
"""

from dataclasses import dataclass, field

from limpetdrift.coordination.scheduling.returns import (
    PoolLoad,
    RefusedPrompt,
    Standing,
)
from limpetdrift.coordination.scheduling.shares import (
    AccountShare,
    AccountUse,
    DecayedUsage,
    delivered_seconds,
    divide,
    is_capacity_enough,
)
from limpetdrift.protocol.plans import PlanRequest

# Contention lasts this long after a prompt was late or refused. It is several
# times the interval between prompts of a busy service.
CONTENTION_SECONDS = 1.0


@dataclass(kw_only=True, slots=True)
class PoolState:
    """What one pool of engines admitted and refused, by account.

    ``least_target_seconds`` is the shortest target of the prompts that were
    late or refused since the contention began.
    """

    used: DecayedUsage = field(default_factory=DecayedUsage)
    refused: DecayedUsage = field(default_factory=DecayedUsage)
    contended_at: float = float('-inf')
    least_target_seconds: float = float('inf')

    def is_contended(self, now: float) -> bool:
        """Return whether a prompt was late or refused lately."""
        return now - self.contended_at <= CONTENTION_SECONDS

    def record_contention(self, target_seconds: float, now: float) -> None:
        """Record that a prompt with this target is late or refused."""
        if self.is_contended(now):
            target_seconds = min(target_seconds, self.least_target_seconds)
        self.least_target_seconds = target_seconds
        self.contended_at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class AskedPrompt:
    """A request, and what its pool has at the moment."""

    request: PlanRequest
    prompt: RefusedPrompt
    standing: Standing
    state: PoolState
    load: PoolLoad
    now: float

    @property
    def target_seconds(self) -> float:
        """The shortest target of this prompt and of those that were late."""
        return min(self.request.target_seconds, self.state.least_target_seconds)


def uses_by_account(asked: AskedPrompt) -> dict[str, AccountUse]:
    """Return what the active accounts asked for, those with refusals too."""
    used = asked.state.used.by_account(asked.now)
    refused = asked.state.refused.by_account(asked.now)
    return {
        account: AccountUse(
            used=used.get(account, 0), refused=refused.get(account, 0)
        )
        for account in (used | refused)
    }


def share_of(asked: AskedPrompt, uses: dict[str, AccountUse]) -> AccountShare:
    """Return the share of a request's account."""
    capacity = delivered_seconds(
        sum(use.used for use in uses.values()),
        engines=asked.load.engines,
        backlog_seconds=asked.load.backlog_seconds,
        target_seconds=asked.target_seconds,
    )
    shares = divide(uses, capacity)
    return shares.get(asked.request.account, AccountShare(due=0, excess=0))


def is_above_share(asked: AskedPrompt) -> bool:
    """Return whether an account used more than its share.

    Without another active account nobody gains by a refusal.
    """
    uses = uses_by_account(asked)
    if len(uses) < 2 or is_capacity_enough(uses, asked.load.engines):
        return False
    return share_of(asked, uses).excess > 0
