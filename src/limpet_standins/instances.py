"""Runs a stand-in for the platform's list of instances.

The list shows each change after a lag, so that tests cover callers that act
on an outdated list. Run it with
``python -m limpet_standins.instances --lag 5``.
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
    """Whether an instance accepts new work (``live``) or not (``leaving``)."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """One row of the list."""

    name: str
    role: Role
    address: str
    service: str = ''
    failure_domain: str = ''
    state: InstanceState = InstanceState.LIVE
    model: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceList:
    """The complete list at one time."""

    instances: tuple[Instance, ...]


class InstanceHistory:
    """The versions of the list, each with the time at which it was set.

    A version becomes visible after the lag, the first one at once.
    """

    def __init__(self, *, controls: Controls, lag_seconds: float) -> None:
        self._controls = controls
        self._lag_seconds = lag_seconds
        self._versions: list[tuple[float, InstanceList]] = []

    async def show(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with the visible version, and the lag as its age."""
        answer = {
            'instances': self._visible_list().instances,
            'taken_seconds_ago': self._lag_seconds,
        }
        await exchange.respond(json_response(answer))

    async def replace(self, exchange: Exchange, _params: Parameters) -> None:
        """Set the current list, which becomes visible after the lag."""
        current = await read_body(exchange, InstanceList)
        if current is None:
            return
        self._versions.append((trio.current_time(), current))
        self._controls.record('set', instances=len(current.instances))
        await exchange.respond(json_response({}))

    def _visible_list(self) -> InstanceList:
        visible_until = trio.current_time() - self._lag_seconds
        while len(self._versions) > 1 and self._versions[1][0] <= visible_until:
            self._versions.pop(0)
        if not self._versions:
            return InstanceList(instances=())
        return self._versions[0][1]


def make_instance_list(
    *,
    name: str = 'instances',
    lag_seconds: float = 5,
) -> StandIn:
    """Return a stand-in whose instance list is empty."""
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
