"""Measures the processor time of a plan while many prompts wait.

Run ``python benchmarks/waiting_prompts.py``; it prints the time of a decision
in microseconds at 80 engines and 300 waiting prompts, by step. All waiting
prompts have 17 parts, the most that there can be.
"""

import time
from collections.abc import Callable
from dataclasses import replace
from statistics import median

from planning import COST_MODEL, make_request

from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.coordination.scheduling.waiting import make_arrival
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView

ENGINES = tuple(
    ListedEndpoint(
        name=f'i-{number}',
        lifetime=1,
        service='s',
        address='10.0.0.1:80',
        failure_domain='d',
        slots=COST_MODEL.slots,
    )
    for number in range(80)
)
WAITING = 300
ROUNDS = 300
SERVICE = 's'
# Times that let each prompt of the backlog wait rather than be refused.
PATIENT_SECONDS = 1000.0


def make_patient(tokens: int) -> PlanRequest:
    """Return a request that is not refused for its waiting time."""
    return replace(
        make_request(tokens),
        target_seconds=PATIENT_SECONDS,
        seconds_left=PATIENT_SECONDS,
        hold_seconds=PATIENT_SECONDS,
        confirms=True,
    )


def make_planner() -> Planner:
    """Return a planner at which prompts wait."""
    view = EndpointView(clock=time.monotonic)
    view.replace(ENGINES)
    cost_model = replace(COST_MODEL, memory_tokens=COST_MODEL.memory_tokens**2)
    planner = Planner(
        inputs=PlannerInputs(
            name='p',
            view=view,
            find_cost_model=lambda service: cost_model,
            clock=time.monotonic,
        ),
    )
    while len(planner.tentative) < WAITING:
        planner.plan(make_patient(300_000))
    return planner


def median_microseconds(function: Callable[[], object]) -> float:
    """Return the median time of a function."""
    seconds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        function()
        seconds.append(time.process_time() - started)
    return median(seconds) * 1_000_000


def main() -> None:
    """Print the times."""
    planner = make_planner()
    urgent = make_request(5000)
    prompt = make_arrival(urgent, COST_MODEL, time.monotonic())
    passable = planner.tentative.find_passable(prompt)
    ledger = planner.ledger(SERVICE)
    steps = {
        'order': lambda: planner.tentative.find_passable(prompt),
        'usages without passed prompts': lambda: ledger.usages(
            ENGINES, passable
        ),
        'usages with all': lambda: ledger.usages(ENGINES),
    }
    print(f'{len(planner.tentative)} prompts wait, {len(passable)} are passed')
    for name, step in steps.items():
        print(f'{name}: {median_microseconds(step):.0f} us')


if __name__ == '__main__':
    main()
