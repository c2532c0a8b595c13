"""Reads the rate of the weight store, and the number of loads that share it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Error, Result

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.protocol.table_client import read_refusal
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from limpetdrift.verdict import Failure

CALL_TIMEOUT_SECONDS = 2.0
_OK = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightRate:
    """The store's total rate, and the number of loads in progress."""

    bytes_per_second: float
    in_flight: int


WeightRateCall = Callable[[], Awaitable[Result[WeightRate, Failure]]]


def make_weight_rate_call(
    client: HttpClient,
    address: Address,
) -> WeightRateCall:
    """Return the function that reads the rate from an address."""

    async def read_rate() -> Result[WeightRate, Failure]:
        answer = await client.fetch(
            address,
            json_request('GET', '/rate'),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        return answer.bind(_read_rate)

    return read_rate


def _read_rate(response: Response) -> Result[WeightRate, Failure]:
    if response.status == _OK:
        return decode(response.body, WeightRate)
    return Error(read_refusal(response))
