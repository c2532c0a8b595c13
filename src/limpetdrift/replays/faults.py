"""Lets engines of a replay fail, and mends them in the end."""

from collections.abc import Callable
from dataclasses import replace

import trio

from limpetdrift.replays.engines import Condition, Engine
from limpetdrift.replays.simulated_site import SimulatedSite
from limpetdrift.replays.workload import Fault, FaultKind

# The list of endpoints shows a crash so long after it.
LIST_SECONDS = 2.0


async def inject_fault(site: SimulatedSite, fault: Fault) -> None:
    """Let a share of the engines fail, and mend them in the end."""
    await trio.sleep(fault.at_seconds)
    chosen = site.random(fault.kind, fault.at_seconds)
    wanted = max(1, round(len(site.engines) * fault.share))
    engines = chosen.sample(list(site.engines.values()), wanted)
    for engine in engines:
        _BEGIN[fault.kind](engine, fault)
    if fault.kind is FaultKind.GONE:
        await trio.sleep(LIST_SECONDS)
        _take_off_list(site, engines)
        await trio.sleep(max(0, fault.for_seconds - LIST_SECONDS))
        _start_again(site, engines)
        return
    await trio.sleep(fault.for_seconds)
    for engine in engines:
        engine.condition = Condition()
        engine.wake()


def _take_off_list(site: SimulatedSite, engines: list[Engine]) -> None:
    for view in site.views:
        for engine in engines:
            view.drop(engine.endpoint.name)


def _start_again(site: SimulatedSite, engines: list[Engine]) -> None:
    for engine in engines:
        lifetime = engine.endpoint.lifetime + 1
        engine.endpoint = replace(engine.endpoint, lifetime=lifetime)
        engine.condition.alive = True
        for view in site.views:
            view.put(engine.endpoint)


def _crash(engine: Engine, fault: Fault) -> None:
    engine.crash()


def _silence(engine: Engine, fault: Fault) -> None:
    engine.condition.silent = True


def _slow_down(engine: Engine, fault: Fault) -> None:
    engine.condition.pace = fault.times


def _fail(engine: Engine, fault: Fault) -> None:
    engine.condition.failing = True


_BEGIN: dict[FaultKind, Callable[[Engine, Fault], None]] = {
    FaultKind.GONE: _crash,
    FaultKind.SILENT: _silence,
    FaultKind.SLOW: _slow_down,
    FaultKind.FAILING: _fail,
}
