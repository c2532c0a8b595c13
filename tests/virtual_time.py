"""Runs an async test body in virtual time, with a fixed seed."""

import functools
import inspect
import random
from contextlib import asynccontextmanager

import trio
from trio.testing import MockClock

from limpetdrift.replays.task_order import seed_task_order

SEED = 20261203


def in_virtual_time(body):
    """Run the async test function under an autojumping mock clock."""

    @functools.wraps(body)
    def run(*arguments, **keywords):
        run_in_virtual_time(functools.partial(body, *arguments, **keywords))

    run.__signature__ = inspect.signature(body)
    return run


def run_in_virtual_time(body, seed=SEED):
    """Run an async function of no arguments in virtual time."""
    seed_task_order(seed)
    random.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return trio.run(body, clock=clock)


@asynccontextmanager
async def background_tasks(harness):
    """Run the tasks that a harness starts while the body runs."""
    async with trio.open_nursery() as nursery:
        harness.start(nursery)
        yield
        nursery.cancel_scope.cancel()
