"""Figures of one run: percentiles, goodput, fairness, refusals.

Requests that arrived in the warm-up are left out. Percentiles are over whole
answers; the failed and cut ones are counted beside them.
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
SLOW_PERCENTILE = 95
_MICROSECONDS = 1_000_000
_LONGEST_SECONDS = 3600
_DIGITS = 3
_NOT_RUN = 'not-run'


@dataclass(frozen=True, kw_only=True, slots=True)
class Times:
    """Times of some requests in seconds, by percentile."""

    count: int
    at: dict[int, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class LengthFigures:
    """What came of the prompts of one length."""

    sent: int
    whole: int
    first_token: Times


@dataclass(frozen=True, kw_only=True, slots=True)
class RunFigures:
    """The figures of one run.

    ``idle_short`` is the time to first token of the same short prompts on an
    idle engine with nothing cached, at the slow percentile. ``goodput`` is
    prompt tokens a second of answers that ended, whole, while requests still
    arrived and after the warm-up.
    ``fairness`` is Jain's index over the accounts' shares of whole answers.
    ``hits`` is the share of prompt tokens found cached, by that of one cache
    over all engines.
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
    """Return the figures of one run."""
    kept = [
        each
        for each in run.requests
        if each.at >= experiment.mix.warm_up_seconds
    ]
    whole = [each for each in kept if each.whole]
    short = [each for each in kept if each.tokens <= SHORT_PROMPT_TOKENS]
    shares = account_shares(kept)
    return RunFigures(
        case=run.case,
        lengths=_by_length(kept),
        short=_first_tokens(each for each in short if each.whole),
        long=_first_tokens(each for each in whole if each.long),
        idle_short=_idle_short(experiment, short),
        goodput=_goodput(experiment, run.requests),
        fairness=jain_index(list(shares.values())),
        hits=_hits(experiment, run),
        account_shares=shares,
        refusals=measure(
            each.ended for each in kept if each.verdict == _NOT_RUN
        ),
        reasons=_count_reasons(kept),
        wrong=sum(not each.whole and not each.verdict for each in kept),
        resent=sum(each.sends > 1 for each in kept),
        resumed=sum(each.resumptions > 0 for each in kept),
        idle_share=_mean([each.idle_share for each in run.samples]),
    )


def measure(seconds: Iterable[float]) -> Times:
    """Return the percentiles of some times.

    >>> measure([0.1, 0.2, 0.3]).count
    3
    """
    longest = _LONGEST_SECONDS * _MICROSECONDS
    histogram = HdrHistogram(1, longest, _DIGITS)
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
    """Return Jain's index of fairness; 1 is an equal share for all.

    >>> jain_index([0.5, 0.5])
    1.0
    """
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)


def _by_length(records: list[Record]) -> dict[int, LengthFigures]:
    found = {}
    for tokens in sorted({each.tokens for each in records}):
        mine = [each for each in records if each.tokens == tokens]
        whole = [each for each in mine if each.whole]
        found[tokens] = LengthFigures(
            sent=len(mine),
            whole=len(whole),
            first_token=_first_tokens(whole),
        )
    return found


def _first_tokens(records: Iterable[Record]) -> Times:
    return measure(
        each.first_token for each in records if each.first_token is not None
    )


def _idle_short(experiment: Experiment, short: list[Record]) -> float:
    sizes = experiment.sizes
    idle = measure(
        max(sizes.step_seconds, each.tokens / sizes.prefill_tokens_per_second)
        for each in short
    )
    return idle.at.get(SLOW_PERCENTILE, 0)


def _goodput(experiment: Experiment, records: Iterable[Record]) -> float:
    mix = experiment.mix
    done = sum(
        each.tokens
        for each in records
        if each.whole
        and mix.warm_up_seconds <= each.at + each.ended <= mix.duration_seconds
    )
    return done / (mix.duration_seconds - mix.warm_up_seconds)


def _hits(experiment: Experiment, run: RunRecord) -> float:
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
