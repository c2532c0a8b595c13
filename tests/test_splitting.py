"""Long prompts are read without holding up short ones.

The law is that of a pool whose engines read 177 tokens a millisecond.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from forward_harness import make_endpoints
from limpetdrift.coordination.engine_cost_model import prefill_seconds
from limpetdrift.coordination.prompt_splitting import (
    choose_split,
    free_tokens,
)
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import EngineReport
from limpetdrift.state.engine_ledger import (
    Booking,
    EngineLedger,
    EngineUsage,
    PlanLease,
    StreamUse,
)

LAW = EngineCostModel(
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
SHORT_PAUSE = 0.25
SHORT_STREAM = StreamUse(
    pause_seconds=SHORT_PAUSE,
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


def make_short(tokens: int = 5000) -> PlanRequest:
    return make_request(
        tokens,
        pause_seconds=SHORT_PAUSE,
        target_seconds=0.3,
        seconds_left=2.0,
    )


class Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def idle_uses() -> tuple[EngineUsage, ...]:
    return tuple(EngineUsage(endpoint=each) for each in ENGINES)


def with_streams(busy: int, streams: int) -> tuple[EngineUsage, ...]:
    """Return uses of which the first engines write so many short streams."""
    return tuple(
        EngineUsage(
            endpoint=each,
            written=(SHORT_STREAM,) * streams if number < busy else (),
            memory_tokens=7000 * streams if number < busy else 0,
        )
        for number, each in enumerate(ENGINES)
    )


def test_law_of_one_engine():
    assert prefill_seconds(LAW, 154_000) == pytest.approx(3.05, abs=0.02)
    assert prefill_seconds(LAW, 700_000) == pytest.approx(49.0, abs=0.1)


def test_short_prompt_is_read_by_one_engine():
    split = choose_split(make_short(), idle_uses(), LAW)
    assert not split.helpers
    assert split.first_token_seconds < 0.15


def test_long_prompt_begins_in_time():
    split = choose_split(make_request(154_000), idle_uses(), LAW)
    assert split.first_token_seconds < 0.75 * 3.0
    assert split.helpers


def test_short_streams_share_engines():
    split = choose_split(make_short(), with_streams(3, 3), LAW)
    assert split.writer.streams == 3


def test_long_parts_leave_engines_with_short_streams_alone():
    uses = with_streams(6, 4)
    split = choose_split(make_request(154_000), uses, LAW)
    assert all(not use.written for use in (split.writer, *split.helpers))


def test_a_few_short_streams_give_way_to_a_prompt_worth_more():
    uses = with_streams(18, 1)
    split = choose_split(make_request(300_000), uses, LAW)
    assert split.first_token_seconds < 3.0


def test_no_planned_pause_makes_callers_of_short_streams_leave():
    """Seen on a hunted day: a part of 2.2 s beside seven short streams."""
    uses = with_streams(12, 1)
    split = choose_split(make_request(508_509), uses, LAW)
    for use in (split.writer, *split.helpers):
        assert not use.written or split.part_seconds < 0.9


def test_prompt_over_one_memory_sets_the_rest_aside():
    split = choose_split(make_request(700_000), idle_uses(), LAW)
    reserved = sum(tokens for _, tokens in split.reserved)
    missing = 701_600 - free_tokens(split.writer, LAW)
    assert reserved >= missing
    for use, tokens in split.reserved:
        assert tokens <= free_tokens(use, LAW)
        assert use in split.helpers


def test_prompt_is_refused_where_memory_is_taken():
    uses = tuple(
        EngineUsage(endpoint=each, memory_tokens=300_000) for each in ENGINES
    )
    assert choose_split(make_request(700_000), uses, LAW) is None


def test_failing_and_slow_engines_are_left_out():
    uses = tuple(
        EngineUsage(
            endpoint=each,
            failing=number < 6,
            pace=4.0 if 6 <= number < 12 else 1.0,
        )
        for number, each in enumerate(ENGINES)
    )
    split = choose_split(make_request(154_000), uses, LAW)
    chosen = (split.writer, *split.helpers)
    assert not any(use.failing for use in chosen)
    assert all(use.pace == 1.0 for use in chosen)


def test_second_long_prompt_waits_for_shared_engines():
    """Engines read the part that came last first: none may come early."""
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    for number in range(4):
        uses = ledger.uses(ENGINES[:4])
        split = choose_split(make_request(300_000), uses, LAW)
        engines = (split.writer, *split.helpers)
        waits = [use.wait_seconds(split.part_seconds) for use in engines]
        assert split.delay_seconds >= max(waits) or not split.helpers
        ledger.book(
            PlanLease(name=f'g{number}', holder='e', seconds=30.0),
            [
                Booking(
                    endpoint=use.endpoint,
                    read_seconds=split.part_seconds,
                    delay_seconds=split.delay_seconds,
                )
                for use in engines
            ],
        )


def test_short_prompts_use_the_gap_before_a_planned_reading():
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
    use = ledger.uses(ENGINES[:1])[0]
    assert use.wait_seconds(0.1) == 0
    assert use.wait_seconds(1.5) == pytest.approx(3.0)
    clock.now = 1.5
    assert ledger.uses(ENGINES[:1])[0].wait_seconds(0.1) == pytest.approx(1.5)


def test_calm_engines_are_kept_for_short_prompts():
    """A wave of long prompts beside a burst of short ones."""
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    late = 0
    for number in range(400):
        clock.now = number * 0.025
        is_long = number % 20 == 0
        request = make_request(200_000) if is_long else make_short()
        split = choose_split(request, ledger.uses(ENGINES), LAW)
        if not is_long:
            late += split.first_token_seconds > 0.3
        book(ledger, f'g{number}', request, split)
    assert late <= 0.03 * 380


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
                endpoint=use.endpoint,
                read_seconds=split.part_seconds,
                delay_seconds=split.delay_seconds,
                memory_tokens=request.memory_tokens,
                stream=StreamUse(pause_seconds=request.pause_seconds),
            )
            for use in (split.writer,)
        ]
        + [
            Booking(
                endpoint=use.endpoint,
                read_seconds=split.part_seconds,
                delay_seconds=split.delay_seconds,
            )
            for use in split.helpers
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
def test_every_split_is_one_that_can_be_run(tokens, states):
    uses = tuple(
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
    split = choose_split(request, uses, LAW)
    if split is None:
        return
    chosen = [split.writer, *split.helpers]
    assert len(chosen) <= 17
    assert len({use.endpoint.name for use in chosen}) == len(chosen)
    reserved = dict(
        (use.endpoint.name, amount) for use, amount in split.reserved
    )
    assert split.writer.endpoint.name not in reserved
    kept = request.memory_tokens - sum(reserved.values())
    assert kept <= max(0, free_tokens(split.writer, LAW))


def test_ledger_forgets_what_has_ended():
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
    assert ledger.uses(ENGINES[:1])[0].streams == 2
    ledger.end_of('x')
    assert ledger.uses(ENGINES[:1])[0].streams == 1
    clock.now = 6.0
    use = ledger.uses(ENGINES[:1])[0]
    assert not use.streams
    assert not use.memory_tokens
    assert not use.backlog_seconds
    assert ledger.grants == 0


def test_requests_of_no_plan_take_places_until_they_are_old_news():
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    report = EngineReport(active=8, queued=2, memory_tokens=90_000)
    assert ledger.note_report(ENGINES[0], report) == 10
    use = ledger.uses(ENGINES[:1])[0]
    assert use.streams == 10
    assert use.memory_tokens == 90_000
    split = choose_split(make_short(), ledger.uses(ENGINES[:2]), LAW)
    assert split.writer.endpoint == ENGINES[1]
    clock.now = 3.0
    assert ledger.uses(ENGINES[:1])[0].streams == 0


def test_engine_that_fails_in_turn_is_left_alone_for_longer():
    clock = Clock()
    ledger = EngineLedger(clock=clock)
    identity = ENGINES[0].identity

    def fails() -> bool:
        return ledger.uses(ENGINES[:1])[0].failing

    ledger.note_failing(identity)
    assert fails()
    clock.now = 1.6
    assert not fails()
    ledger.note_failing(identity)
    clock.now = 4.0
    assert fails()
    clock.now = 20.0
    ledger.note_failing(identity)
    clock.now = 21.6
    assert not fails()
