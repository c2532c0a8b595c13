"""Tests that long prompts are prefilled without delaying short ones.

The cost model is that of engines that prefill 177 tokens a millisecond.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from forward_harness import make_endpoints
from limpetdrift.coordination.engines.engine_cost_model import prefill_seconds
from limpetdrift.coordination.engines.prompt_splitting import (
    choose_split,
)
from limpetdrift.coordination.engines.split_costs import (
    free_tokens,
)
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import EngineReport
from limpetdrift.state.engine_ledger import EngineLedger
from limpetdrift.state.engine_usage import (
    Booking,
    EngineUsage,
    PlanLease,
    StreamUse,
)

COST_MODEL = EngineCostModel(
    slots=8,
    memory_tokens=315_000,
    step_seconds=0.00085,
    stream_seconds=0.0000085,
    context_seconds=0.00000000285,
    read_tokens_per_second=177_000.0,
    pair_seconds=0.184e-9,
    chunk_tokens=2048,
    stride=51,
)
ENGINES = make_endpoints(18)
SHORT_PAUSE_SECONDS = 0.25
SHORT_STREAM = StreamUse(
    pause_seconds=SHORT_PAUSE_SECONDS,
    patience_seconds=2.0,
    worth=1.6,
)


def make_request(tokens: int, **changes: object) -> PlanRequest:
    values: dict[str, object] = {
        'service': 's',
        'entry': 'e',
        'prompt_tokens': tokens,
        'answer_tokens': 1600,
        'pause_seconds': 1.0,
        'target_seconds': 3.0,
        'seconds_left': 12.0,
        'patience_seconds': 12.0,
        'hold_seconds': 12.0,
        'failure_domain': '',
    }
    return PlanRequest(**(values | changes))


def make_short_request(tokens: int = 5000) -> PlanRequest:
    return make_request(
        tokens,
        pause_seconds=SHORT_PAUSE_SECONDS,
        target_seconds=0.3,
        seconds_left=2.0,
    )


class Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def idle_usages() -> tuple[EngineUsage, ...]:
    return tuple(EngineUsage(endpoint=each) for each in ENGINES)


def usages_with_streams(busy: int, streams: int) -> tuple[EngineUsage, ...]:
    """Return usages with ``streams`` short streams on the first ``busy``."""
    return tuple(
        EngineUsage(
            endpoint=each,
            written=(SHORT_STREAM,) * streams if number < busy else (),
            memory_tokens=7000 * streams if number < busy else 0,
        )
        for number, each in enumerate(ENGINES)
    )


def test_prefill_seconds_of_whole_prompts_on_one_engine():
    assert prefill_seconds(COST_MODEL, 154_000) == pytest.approx(3.05, abs=0.02)
    assert prefill_seconds(COST_MODEL, 700_000) == pytest.approx(49.0, abs=0.1)


def test_short_prompt_is_prefilled_by_one_engine():
    split = choose_split(make_short_request(), idle_usages(), COST_MODEL)
    assert not split.helpers
    assert split.first_token_seconds < 0.15


def test_long_prompt_is_split_to_begin_within_its_target_time():
    split = choose_split(make_request(154_000), idle_usages(), COST_MODEL)
    assert split.first_token_seconds < 0.75 * 3.0
    assert split.helpers


def test_short_prompt_goes_to_an_engine_with_short_streams():
    split = choose_split(
        make_short_request(), usages_with_streams(3, 3), COST_MODEL
    )
    assert split.writer.streams == 3


def test_long_prompt_avoids_engines_with_short_streams():
    usages = usages_with_streams(6, 4)
    split = choose_split(make_request(154_000), usages, COST_MODEL)
    assert all(not usage.written for usage in (split.writer, *split.helpers))


def test_long_prompt_interrupts_streams_if_all_engines_have_one():
    usages = usages_with_streams(18, 1)
    split = choose_split(make_request(300_000), usages, COST_MODEL)
    assert split.first_token_seconds < 3.0


def test_parts_beside_short_streams_are_shorter_than_their_patience():
    """Guards against pauses after which callers leave.

    Once a part of 2.2 s was planned beside seven short streams.
    """
    usages = usages_with_streams(12, 1)
    split = choose_split(make_request(508_509), usages, COST_MODEL)
    for usage in (split.writer, *split.helpers):
        assert not usage.written or split.part_seconds < 0.9


def test_prompt_larger_than_one_memory_reserves_the_rest_at_helpers():
    split = choose_split(make_request(700_000), idle_usages(), COST_MODEL)
    reserved = sum(tokens for _, tokens in split.reserved)
    missing = 701_600 - free_tokens(split.writer, COST_MODEL)
    assert reserved >= missing
    for usage, tokens in split.reserved:
        assert tokens <= free_tokens(usage, COST_MODEL)
        assert usage in split.helpers


def test_no_split_is_found_if_memory_is_taken():
    usages = tuple(
        EngineUsage(endpoint=each, memory_tokens=300_000) for each in ENGINES
    )
    assert choose_split(make_request(700_000), usages, COST_MODEL) is None


def test_failing_and_slow_engines_are_not_chosen():
    usages = tuple(
        EngineUsage(
            endpoint=each,
            failing=number < 6,
            pace=4.0 if 6 <= number < 12 else 1.0,
        )
        for number, each in enumerate(ENGINES)
    )
    split = choose_split(make_request(154_000), usages, COST_MODEL)
    chosen = (split.writer, *split.helpers)
    assert not any(usage.failing for usage in chosen)
    assert all(usage.pace == 1.0 for usage in chosen)


def test_split_prompt_is_delayed_until_its_engines_are_free():
    """Engines prefill the latest part first, so no part may be sent early."""
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    for number in range(4):
        usages = ledger.usages(ENGINES[:4])
        split = choose_split(make_request(300_000), usages, COST_MODEL)
        engines = (split.writer, *split.helpers)
        waits = [usage.wait_seconds(split.part_seconds) for usage in engines]
        assert split.delay_seconds >= max(waits) or not split.helpers
        ledger.book(
            PlanLease(name=f'g{number}', holder='e', seconds=30.0),
            [
                Booking(
                    endpoint=usage.endpoint,
                    read_seconds=split.part_seconds,
                    delay_seconds=split.delay_seconds,
                )
                for usage in engines
            ],
        )


def test_short_prompts_use_the_gap_before_planned_prefill():
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    ledger.book(
        PlanLease(name='g', holder='e', seconds=30.0),
        [
            Booking(
                endpoint=ENGINES[0],
                read_seconds=2.0,
                delay_seconds=1.0,
            ),
        ],
    )
    usage = ledger.usages(ENGINES[:1])[0]
    assert usage.wait_seconds(0.1) == 0
    assert usage.wait_seconds(1.5) == pytest.approx(3.0)
    clock.now = 1.5
    assert ledger.usages(ENGINES[:1])[0].wait_seconds(0.1) == pytest.approx(1.5)


def test_short_prompts_stay_on_time_beside_long_ones():
    """Guards against long prompts that occupy all engines at once.

    Every twentieth prompt of a burst is long.
    """
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    late_count = 0
    for number in range(400):
        clock.now = number * 0.025
        is_long = number % 20 == 0
        request = make_request(200_000) if is_long else make_short_request()
        split = choose_split(request, ledger.usages(ENGINES), COST_MODEL)
        if not is_long:
            late_count += split.first_token_seconds > 0.3
        book(ledger, f'g{number}', request, split)
    assert late_count <= 0.03 * 380


def book(
    ledger: EngineLedger,
    name: str,
    request: PlanRequest,
    split,
) -> None:
    ledger.book(
        PlanLease(
            name=name, holder='e', seconds=split.first_token_seconds + 1.5
        ),
        [
            Booking(
                endpoint=usage.endpoint,
                read_seconds=split.part_seconds,
                delay_seconds=split.delay_seconds,
                memory_tokens=request.memory_tokens,
                stream=StreamUse(pause_seconds=request.pause_seconds),
            )
            for usage in (split.writer,)
        ]
        + [
            Booking(
                endpoint=usage.endpoint,
                read_seconds=split.part_seconds,
                delay_seconds=split.delay_seconds,
            )
            for usage in split.helpers
        ],
    )


@given(
    st.integers(1, 900_000),
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.floats(0, 5),
            st.integers(0, 300_000),
            st.booleans(),
        ),
        min_size=1,
        max_size=18,
    ),
)
def test_every_split_is_feasible(tokens, states):
    usages = tuple(
        EngineUsage(
            endpoint=engine,
            written=(SHORT_STREAM,) * streams,
            backlog_seconds=backlog,
            gap_seconds=0.0 if backlog else float('inf'),
            memory_tokens=memory,
            failing=failing,
        )
        for engine, (streams, backlog, memory, failing) in zip(
            ENGINES,
            states,
            strict=False,
        )
    )
    request = make_request(tokens)
    split = choose_split(request, usages, COST_MODEL)
    if split is None:
        return
    chosen = [split.writer, *split.helpers]
    assert len(chosen) <= 17
    assert len({usage.endpoint.name for usage in chosen}) == len(chosen)
    reserved = dict(
        (usage.endpoint.name, amount) for usage, amount in split.reserved
    )
    assert split.writer.endpoint.name not in reserved
    writer_tokens = request.memory_tokens - sum(reserved.values())
    assert writer_tokens <= max(0, free_tokens(split.writer, COST_MODEL))


def test_ledger_drops_ended_and_overdue_plans():
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    booking = Booking(
        endpoint=ENGINES[0],
        read_seconds=2.0,
        memory_tokens=100,
        stream=SHORT_STREAM,
    )
    ledger.book(PlanLease(name='a', holder='x', seconds=5.0), [booking])
    ledger.book(PlanLease(name='b', holder='y', seconds=5.0), [booking])
    assert ledger.usages(ENGINES[:1])[0].streams == 2
    ledger.end_all_of('x')
    assert ledger.usages(ENGINES[:1])[0].streams == 1
    clock.now = 6.0
    usage = ledger.usages(ENGINES[:1])[0]
    assert not usage.streams
    assert not usage.memory_tokens
    assert not usage.backlog_seconds
    assert ledger.plan_count == 0


# A prompt of 255,745 tokens that an entry had sent before it lost power held up
# twelve short ones on the bench.
def test_engine_that_may_read_a_long_prompt_of_no_plan_is_avoided():
    ledger = EngineLedger(clock=Clock())
    engines = ENGINES[:2]
    reports = ((255_745, engines[0]), (5000, engines[1]))
    for tokens, engine in reports:
        ledger.note_report(
            engine, EngineReport(active=1, queued=0, memory_tokens=tokens)
        )
    request = make_request(
        5000, target_seconds=0.3, pause_seconds=SHORT_PAUSE_SECONDS
    )
    split = choose_split(request, ledger.usages(engines), COST_MODEL)
    assert split.writer.endpoint is engines[1]


def test_late_long_prompt_is_still_split():
    """Guards against a prompt that one engine prefills as it is late anyway.

    Of two engines one has a queue of requests of no plan.
    """
    ledger = EngineLedger(clock=Clock())
    ledger.note_report(
        ENGINES[0], EngineReport(active=1, queued=1, memory_tokens=5000)
    )
    request = make_request(280_000)
    split = choose_split(request, ledger.usages(ENGINES[:2]), COST_MODEL)
    assert split.first_token_seconds > request.target_seconds
    assert split.helpers


def test_unplanned_requests_take_slots_until_their_report_is_stale():
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    report = EngineReport(active=8, queued=2, memory_tokens=90_000)
    assert ledger.note_report(ENGINES[0], report) == 10
    usage = ledger.usages(ENGINES[:1])[0]
    assert usage.streams == 10
    assert usage.memory_tokens == 90_000
    split = choose_split(
        make_short_request(), ledger.usages(ENGINES[:2]), COST_MODEL
    )
    assert split.writer.endpoint == ENGINES[1]
    clock.now = 3.0
    assert ledger.usages(ENGINES[:1])[0].streams == 0


def test_engine_is_avoided_longer_after_consecutive_failures():
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    identity = ENGINES[0].identity

    def is_failing() -> bool:
        return ledger.usages(ENGINES[:1])[0].failing

    ledger.mark_failing(identity)
    assert is_failing()
    clock.now = 1.6
    assert not is_failing()
    ledger.mark_failing(identity)
    clock.now = 4.0
    assert is_failing()
    clock.now = 20.0
    ledger.mark_failing(identity)
    clock.now = 21.6
    assert not is_failing()


def test_plan_recomputes_only_the_usages_that_changed():
    """Guards the time of a plan, which must not grow with idle engines."""
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    before = ledger.usages(ENGINES)
    booking = Booking(
        endpoint=ENGINES[0], read_seconds=2.0, stream=SHORT_STREAM
    )
    ledger.book(PlanLease(name='a', holder='x', seconds=9.0), [booking])
    clock.now = 1.0
    during = ledger.usages(ENGINES)
    assert all(
        new is old for new, old in zip(during[1:], before[1:], strict=True)
    )
    assert during[0].backlog_seconds == pytest.approx(1.0)
    clock.now = 1.5
    assert ledger.usages(ENGINES)[0].backlog_seconds == pytest.approx(0.5)
    clock.now = 3.0
    after = ledger.usages(ENGINES)[0]
    assert not after.backlog_seconds
    assert ledger.usages(ENGINES)[0] is after
    ledger.end('a')
    assert ledger.usages(ENGINES)[0].streams == 0
