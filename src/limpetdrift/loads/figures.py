"""Computes the figures of one run: percentiles, goodput, fairness, refusals.

Requests that arrived during the warm-up are left out. Percentiles cover whole
answers only; failed and truncated ones are counted separately.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from limpetdrift.loads.arrivals import draw_case, ideal_hit_share
from limpetdrift.loads.experiment import (
    SHORT_PROMPT_TOKENS,
    Experiment,
    RunSpec,
)
from limpetdrift.loads.records import Record, RunRecord

PERCENTILES = (50, 95, 99)
TAIL_PERCENTILE = 95
_MICROSECONDS = 1_000_000
_MAX_SECONDS = 3600
_SIGNIFICANT_DIGITS = 3
_NOT_RUN = 'not-run'


@dataclass(frozen=True, kw_only=True, slots=True)
class Times:
    """The number of times and, by percentile, their values in seconds."""

    count: int
    at: dict[int, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class LengthFigures:
    """Results for the prompts of one length: counts and latency."""

    sent: int
    whole: int
    first_token: Times


@dataclass(frozen=True, kw_only=True, slots=True)
class RunFigures:
    """The figures of one run.

    ``short`` and ``long`` are times to first token of short and long prompts.
    ``idle_short`` is the tail percentile of the time to first token that the
    same short prompts would have on an idle engine with an empty cache.
    ``goodput`` counts the prompt tokens per second of whole answers that
    ended after the warm-up and before arrivals stopped. ``fairness`` is
    Jain's index over ``account_shares``, each account's share of requests
    answered whole. ``hits`` is the cache hit rate by prompt tokens, divided
    by that of one cache as large as all engines' memory. ``refusals`` are
    the times after which requests were refused as not run, and ``reasons``
    counts failures. ``wrong`` counts answers that ended without a failure
    but were not the expected ones. ``idle_share`` is that of the processors.
    """

    case: RunSpec
    lengths: dict[int, LengthFigures]
    short: Times
    long: Times
    idle_short: float
    goodput: float
    fairness: float
    hits: float
    account_shares: dict[str, float]
    refusals: Times
    reasons: dict[str, int]
    wrong: int
    resent: int
    resumed: int
    idle_share: float


def compute_figures(experiment: Experiment, run: RunRecord) -> RunFigures:
    """Return the figures of one run from its records."""
    counted = [
        each
        for each in run.requests
        if each.at >= experiment.mix.warm_up_seconds
    ]
    whole = [each for each in counted if each.whole]
    short = [each for each in counted if each.tokens <= SHORT_PROMPT_TOKENS]
    shares = account_shares(counted)
    return RunFigures(
        case=run.case,
        lengths=_by_length(counted),
        short=_first_tokens(each for each in short if each.whole),
        long=_first_tokens(each for each in whole if each.long),
        idle_short=_idle_short(experiment, short),
        goodput=_goodput(experiment, run.requests),
        fairness=jain_index(list(shares.values())),
        hits=_relative_hit_rate(experiment, run),
        account_shares=shares,
        refusals=summarize_times(
            each.ended for each in counted if each.verdict == _NOT_RUN
        ),
        reasons=_count_reasons(counted),
        wrong=sum(not each.whole and not each.verdict for each in counted),
        resent=sum(each.sends > 1 for each in counted),
        resumed=sum(each.resumptions > 0 for each in counted),
        idle_share=_mean([each.idle_share for each in run.samples]),
    )


def summarize_times(seconds: Iterable[float]) -> Times:
    """Return the percentiles of times in seconds.

    >>> summarize_times([0.1, 0.2, 0.3]).count
    3
    """
    max_microseconds = _MAX_SECONDS * _MICROSECONDS
    histogram = HdrHistogram(1, max_microseconds, _SIGNIFICANT_DIGITS)
    for each in seconds:
        histogram.record_value(max(1, int(each * _MICROSECONDS)))
    if not histogram.get_total_count():
        return Times(count=0, at={})
    at = {
        share: histogram.get_value_at_percentile(share) / _MICROSECONDS
        for share in PERCENTILES
    }
    return Times(count=histogram.get_total_count(), at=at)


def account_shares(records: list[Record]) -> dict[str, float]:
    """Return for each account the share of its requests answered whole."""
    sent: dict[str, int] = {}
    whole: dict[str, int] = {}
    for record in records:
        sent[record.account] = sent.get(record.account, 0) + 1
        whole[record.account] = whole.get(record.account, 0) + record.whole
    return {name: whole[name] / sent[name] for name in sorted(sent)}


def jain_index(shares: list[float]) -> float:
    """Return Jain's fairness index; 1 means equal shares for all.

    >>> jain_index([0.5, 0.5])
    1.0
    """
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)


def _by_length(records: list[Record]) -> dict[int, LengthFigures]:
    figures = {}
    for tokens in sorted({each.tokens for each in records}):
        matching = [each for each in records if each.tokens == tokens]
        whole = [each for each in matching if each.whole]
        figures[tokens] = LengthFigures(
            sent=len(matching),
            whole=len(whole),
            first_token=_first_tokens(whole),
        )
    return figures


def _first_tokens(records: Iterable[Record]) -> Times:
    return summarize_times(
        each.first_token for each in records if each.first_token is not None
    )


def _idle_short(experiment: Experiment, short: list[Record]) -> float:
    sizes = experiment.sizes
    idle = summarize_times(
        max(sizes.step_seconds, each.tokens / sizes.prefill_tokens_per_second)
        for each in short
    )
    return idle.at.get(TAIL_PERCENTILE, 0)


def _goodput(experiment: Experiment, records: Iterable[Record]) -> float:
    mix = experiment.mix
    tokens = sum(
        each.tokens
        for each in records
        if each.whole
        and mix.warm_up_seconds <= each.at + each.ended <= mix.duration_seconds
    )
    return tokens / (mix.duration_seconds - mix.warm_up_seconds)


def _relative_hit_rate(experiment: Experiment, run: RunRecord) -> float:
    ideal = ideal_hit_share(experiment, draw_case(experiment, run.case))
    whole = [each for each in run.requests if each.whole]
    cached = sum(each.cached_tokens for each in whole)
    total = sum(each.tokens for each in whole)
    return cached / max(1, total) / ideal if ideal else 0


def _count_reasons(records: list[Record]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in records:
        if record.verdict:
            name = f'{record.reason} ({record.verdict})'
            counts[name] = counts.get(name, 0) + 1
    return counts


def _mean(numbers: list[float]) -> float:
    return sum(numbers) / len(numbers) if numbers else 0
