"""Verdicts and failures."""

from limpetdrift.protocol.verdict import Reason, Verdict, not_run


def test_a_refusal_is_proved_not_run():
    failure = not_run(Reason.DRAINING, retry_after_seconds=2.0)
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.with_verdict(Verdict.RAN).retry_after_seconds == 2.0
