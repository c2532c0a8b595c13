"""Processor time of a plan, of a log line and of a measurement.

Run ``python benchmarks/planning.py``; it prints microseconds for each.
"""

import os
import sys
import time

from limpetdrift import logs, telemetry
from limpetdrift.coordination.planner import Planner, PlannerInputs
from limpetdrift.protocol.plans import EndedPlan, PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView

ROUNDS = 300
STREAMS = 2
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


def make_request(tokens: int) -> PlanRequest:
    """Return a request for a plan."""
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
    """Return what a plan and its end take with streams on all engines."""
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
            find_cost_model=lambda service: LAW,
            clock=time.monotonic,
        ),
    )
    for _ in range(engines * STREAMS):
        planner.plan(make_request(5000))
    begun = time.process_time()
    for _ in range(ROUNDS):
        plan = planner.plan(make_request(tokens))
        planner.end('s', (EndedPlan(grant=plan.ok.grant),))
    return (time.process_time() - begun) / ROUNDS * 1_000_000


def line_microseconds() -> float:
    """Return what a line of the log takes."""
    with open(os.devnull, 'w') as sink:
        logs.set_up_queue('bench', stream=sink)
        begun = time.process_time()
        for number in range(ROUNDS * 10):
            logs.note('placed', id='x', endpoint='i-1', seconds=number)
        return (time.process_time() - begun) / ROUNDS / 10 * 1_000_000


def measurement_microseconds() -> float:
    """Return what one count and one observation take together."""
    begun = time.process_time()
    for number in range(ROUNDS * 10):
        telemetry.count('bench', reason='timeout')
        telemetry.observe('bench_seconds', number, kind='streaming')
    return (time.process_time() - begun) / ROUNDS / 10 * 1_000_000


def main() -> None:
    """Print the table."""
    for engines in (6, 18, 60, 180):
        short = plan_microseconds(engines, 5000)
        long = plan_microseconds(engines, 150_000)
        sys.stdout.write(
            f'{engines} engines: short {short:.0f}, long {long:.0f}\n',
        )
    sys.stdout.write(f'log line: {line_microseconds():.0f}\n')
    measured = measurement_microseconds()
    sys.stdout.write(f'count and observation: {measured:.1f}\n')


if __name__ == '__main__':
    main()
