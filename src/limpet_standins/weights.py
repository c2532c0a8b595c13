"""A stand-in for the weight store, whose loads share one transfer rate.

Run it with ``python -m limpet_standins.weights``.
"""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated

import cappa
import trio

from limpet_standins.controls import Controls
from limpet_standins.serving import (
    StandIn,
    make_stand_in,
    refuse,
    run_stand_in,
)
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

# Parts of one load; concurrent loads take turns part by part.
TRANSFER_PARTS = 20


class WeightStore:
    """Simulates loads of weights, ``max_in_flight`` of them at a time.

    Weights are transferred in parts, so that concurrent loads progress at an
    equal rate.
    """

    def __init__(
        self,
        *,
        controls: Controls,
        model_bytes: int,
        bytes_per_second: float,
        max_in_flight: int,
    ) -> None:
        self._controls = controls
        self._model_bytes = model_bytes
        self._bytes_per_second = bytes_per_second
        self._max_in_flight = max_in_flight
        self._in_flight = 0
        self._transfer_lock = trio.Lock()

    async def load(self, exchange: Exchange, params: Parameters) -> None:
        """Respond after the time of a load, or refuse it with 429."""
        if self._in_flight >= self._max_in_flight:
            self._controls.record('refused', **params)
            status = HTTPStatus.TOO_MANY_REQUESTS
            await refuse(exchange, status, 'too-many-loads')
            return
        self._controls.record('load', **params)
        self._in_flight += 1
        try:
            await self._transfer()
        finally:
            self._in_flight -= 1
        await exchange.respond(json_response({'bytes': self._model_bytes}))

    async def rate(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with the rate and the number of loads that share it."""
        answer = {
            'bytes_per_second': self._bytes_per_second,
            'in_flight': self._in_flight,
        }
        await exchange.respond(json_response(answer))

    async def _transfer(self) -> None:
        seconds = self._model_bytes / self._bytes_per_second / TRANSFER_PARTS
        for _ in range(TRANSFER_PARTS):
            async with self._transfer_lock:
                await trio.sleep(seconds * self._controls.faults.slow)


def make_weight_store(
    *,
    name: str = 'weights',
    model_bytes: int = 2_000_000_000,
    bytes_per_second: float = 1_000_000_000,
    max_in_flight: int = 4,
) -> StandIn:
    """Return a weight store that has every model and version."""
    controls = Controls()
    store = WeightStore(
        controls=controls,
        model_bytes=model_bytes,
        bytes_per_second=bytes_per_second,
        max_in_flight=max_in_flight,
    )
    stand_in = make_stand_in(name=name, controls=controls)
    stand_in.routes.add('GET', '/weights/{model}/{version}', store.load)
    stand_in.routes.add('GET', '/rate', store.rate)
    return stand_in


@cappa.command(name='limpet-weights')
@dataclass
class WeightsCommand:
    """Run a stand-in of the weight store."""

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    name: Annotated[str, cappa.Arg(long=True)] = 'weights'
    model_bytes: Annotated[int, cappa.Arg(long=True)] = 2_000_000_000
    bytes_per_second: Annotated[float, cappa.Arg(long=True)] = 1e9
    max_in_flight: Annotated[int, cappa.Arg(long=True)] = 4

    def __call__(self) -> None:
        """Run until stopped."""
        run_stand_in(self._make, self.listen)

    def _make(self, _address: str) -> StandIn:
        return make_weight_store(
            name=self.name,
            model_bytes=self.model_bytes,
            bytes_per_second=self.bytes_per_second,
            max_in_flight=self.max_in_flight,
        )


if __name__ == '__main__':
    cappa.invoke(WeightsCommand)
