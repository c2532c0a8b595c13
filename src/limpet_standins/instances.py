"""The list of live and leaving instances, which lags behind the truth.

Run it with ``python -m limpet_standins.instances --lag 5``.
"""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Annotated

import cappa
import trio

from limpet_standins.controls import Controls
from limpet_standins.serving import (
    StandIn,
    make_stand_in,
    read_body,
    run_stand_in,
)
from limpetdrift.protocol.codec import json_response
from limpetdrift.protocol.node import Role
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange


@unique
class InstanceState(StrEnum):
    """Whether an instance may get new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """One line of the list."""

    name: str
    role: Role
    address: str
    service: str = ''
    failure_domain: str = ''
    state: InstanceState = InstanceState.LIVE
    model: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceList:
    """All instances at one time."""

    instances: tuple[Instance, ...]


class InstanceHistory:
    """What the list was, and when; the first list shows at once."""

    def __init__(self, *, controls: Controls, lag_seconds: float) -> None:
        self._controls = controls
        self._lag_seconds = lag_seconds
        self._past: list[tuple[float, InstanceList]] = []

    async def show(self, exchange: Exchange, _params: Parameters) -> None:
        """Answer with the list as it was one lag ago."""
        answer = {
            'instances': self._lagged().instances,
            'taken_seconds_ago': self._lag_seconds,
        }
        await exchange.respond(json_response(answer))

    async def replace(self, exchange: Exchange, _params: Parameters) -> None:
        """Set the truth."""
        truth = await read_body(exchange, InstanceList)
        if truth is None:
            return
        self._past.append((trio.current_time(), truth))
        self._controls.record('set', instances=len(truth.instances))
        await exchange.respond(json_response({}))

    def _lagged(self) -> InstanceList:
        horizon = trio.current_time() - self._lag_seconds
        while len(self._past) > 1 and self._past[1][0] <= horizon:
            self._past.pop(0)
        if not self._past:
            return InstanceList(instances=())
        return self._past[0][1]


def make_instance_list(
    *,
    name: str = 'instances',
    lag_seconds: float = 5,
) -> StandIn:
    """Return an instance list that is empty."""
    controls = Controls()
    history = InstanceHistory(controls=controls, lag_seconds=lag_seconds)
    stand_in = make_stand_in(name=name, controls=controls)
    stand_in.routes.add('GET', '/instances', history.show)
    stand_in.routes.add('POST', '/control/instances', history.replace)
    return stand_in


@cappa.command(name='limpet-instances')
@dataclass
class InstancesCommand:
    """Run a stand-in of the platform's instance list."""

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    name: Annotated[str, cappa.Arg(long=True)] = 'instances'
    lag: Annotated[float, cappa.Arg(long=True)] = 5

    def __call__(self) -> None:
        """Run until stopped."""
        run_stand_in(
            lambda _address: make_instance_list(
                name=self.name,
                lag_seconds=self.lag,
            ),
            self.listen,
        )


if __name__ == '__main__':
    cappa.invoke(InstancesCommand)
