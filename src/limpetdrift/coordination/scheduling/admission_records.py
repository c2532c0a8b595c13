"""Counts and logs the decisions on whether prompts are admitted."""

from enum import StrEnum, unique

from limpetdrift import telemetry
from limpetdrift.coordination.scheduling.contention import (
    AskedPrompt,
    share_of,
    uses_by_account,
)
from limpetdrift.coordination.scheduling.returns import Standing
from limpetdrift.logs import note

# Priorities below this one are counted as this one.
_LOWEST_PRIORITY = 9
_MILLISECONDS = 1000


@unique
class Refusal(StrEnum):
    """Why a prompt is refused; each is a label value of metrics."""

    MEMORY = 'memory of the engines is taken'
    TOO_LATE = 'would begin too late'
    COST = 'no better plan than another group has made'
    SHARE = 'the account is above its share'


def count_decision(refusal: Refusal | None, asked: AskedPrompt) -> None:
    """Count an admission or a refusal, by priority and account."""
    account = asked.request.account
    priority = str(max(0, min(_LOWEST_PRIORITY, asked.request.priority)))
    if asked.standing is not Standing.NEW:
        telemetry.count(
            'prompt_returns',
            standing=asked.standing,
            outcome='refused' if refusal else 'admitted',
            priority=priority,
        )
    if refusal:
        reason = refusal.name.lower().replace('_', '-')
        telemetry.count('prompt_refusals', reason=reason, priority=priority)
    if not account:
        return
    if refusal:
        telemetry.count('account_refusals', account=account)
    else:
        milliseconds = round(asked.prompt.engine_seconds * _MILLISECONDS)
        telemetry.count(
            'account_engine_milliseconds', milliseconds, account=account
        )


def log_refusal(
    refusal: Refusal, asked: AskedPrompt, retry_after: float
) -> None:
    """Log a refusal; the entry that asked logs it with the request's id."""
    request = asked.request
    own = share_of(asked, uses_by_account(asked))
    note(
        'prompt refused',
        reason=refusal,
        service=request.service,
        account=request.account,
        priority=request.priority,
        tokens=request.prompt_tokens,
        backlog_seconds=round(asked.load.backlog_seconds, 3),
        due_seconds=round(own.due, 3),
        excess_seconds=round(own.excess, 3),
        retry_after_seconds=round(retry_after, 3),
    )
