"""Tests of verdicts and failures."""

from limpetdrift.verdict import Reason, Verdict, not_run


def test_not_run_failure_keeps_its_retry_time_with_another_verdict():
    failure = not_run(Reason.DRAINING, retry_after_seconds=2.0)
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.with_verdict(Verdict.RAN).retry_after_seconds == 2.0
