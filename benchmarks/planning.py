"""Measures the processor time of a plan, a log line and a metric update.

Run ``python benchmarks/planning.py``; it prints each in microseconds. Plans
are made for short and long prompts, by number of engines.
"""

import os
import sys
import time

from limpetdrift import logs, telemetry
from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.protocol.plans import EndedPlan, PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView

ROUNDS = 300
STREAMS_PER_ENGINE = 2
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


def make_request(tokens: int) -> PlanRequest:
    """Return a plan request for a prompt of ``tokens`` tokens."""
    is_long = tokens > 20_000
    return PlanRequest(
        service='s',
        entry='e',
        prompt_tokens=tokens,
        answer_tokens=1600,
        pause_seconds=1.0 if is_long else 0.25,
        patience_seconds=12.0 if is_long else 2.0,
        target_seconds=3.0 if is_long else 0.3,
        seconds_left=10.0,
        hold_seconds=10.0,
        failure_domain='d',
    )


def plan_microseconds(engines: int, tokens: int) -> float:
    """Return the time to make and end a plan while the engines have streams."""
    view = EndpointView(clock=time.monotonic)
    view.replace(
        ListedEndpoint(
            name=f'i-{number}',
            lifetime=1,
            service='s',
            address='10.0.0.1:80',
            failure_domain='d',
            slots=8,
        )
        for number in range(engines)
    )
    planner = Planner(
        inputs=PlannerInputs(
            name='p',
            view=view,
            find_cost_model=lambda service: COST_MODEL,
            clock=time.monotonic,
        ),
    )
    for _ in range(engines * STREAMS_PER_ENGINE):
        planner.plan(make_request(5000))
    started = time.process_time()
    for _ in range(ROUNDS):
        plan = planner.plan(make_request(tokens))
        planner.end('s', (EndedPlan(grant=plan.ok.grant),))
    return (time.process_time() - started) / ROUNDS * 1_000_000


def line_microseconds() -> float:
    """Return the time to log a line."""
    with open(os.devnull, 'w') as sink:
        logs.set_up_queue('bench', stream=sink)
        started = time.process_time()
        for number in range(ROUNDS * 10):
            logs.note('placed', id='x', endpoint='i-1', seconds=number)
        return (time.process_time() - started) / ROUNDS / 10 * 1_000_000


def metrics_microseconds() -> float:
    """Return the time of one count and one observation together."""
    started = time.process_time()
    for number in range(ROUNDS * 10):
        telemetry.count('bench', reason='timeout')
        telemetry.observe('bench_seconds', number, kind='streaming')
    return (time.process_time() - started) / ROUNDS / 10 * 1_000_000


def main() -> None:
    """Print the times."""
    for engines in (6, 18, 60, 180):
        short = plan_microseconds(engines, 5000)
        long = plan_microseconds(engines, 150_000)
        sys.stdout.write(
            f'{engines} engines: short {short:.0f}, long {long:.0f}\n',
        )
    sys.stdout.write(f'log line: {line_microseconds():.0f}\n')
    metrics = metrics_microseconds()
    sys.stdout.write(f'count and observation: {metrics:.1f}\n')


if __name__ == '__main__':
    main()
