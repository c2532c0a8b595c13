"""Sends orders to engines and reads their state, over HTTP.

An order whose fencing token is too old fails with ``Reason.FENCED`` and has no
effect.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum, unique

from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

ORDER_TIMEOUT_SECONDS = 5.0
STATE_TIMEOUT_SECONDS = 2.0
_OK = 200
_ACCEPTED = 202
_FENCED = 412


@unique
class Action(StrEnum):
    """The kind of an order."""

    LOAD_MODEL = 'load-model'
    LOAD_ADAPTER = 'load-adapter'
    SET_VERSION = 'set-version'
    SET_ROLE = 'set-role'
    UNLOAD_MODEL = 'unload-model'


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOrder:
    """An order; ``fencing`` is the fencing token of the sender's lease."""

    order_id: str
    fencing: int
    action: Action
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineState:
    """What an engine serves, and how it treats orders.

    ``loading`` is the id of the order in progress, or empty.
    ``highest_fencing`` is the highest fencing token that it received. Only if
    ``checks_fencing`` is set does it refuse lower ones.
    """

    model: str = ''
    version: str = ''
    role: str = ''
    adapters: tuple[str, ...] = ()
    loading: str = ''
    highest_fencing: int = 0
    checks_fencing: bool = False


@dataclass(frozen=True, kw_only=True)
class OrderCalls:
    """The calls that send an order and read an engine's state."""

    send: Callable[
        [Address, EngineOrder],
        Awaitable[Result[None, Failure]],
    ]
    state: Callable[[Address], Awaitable[Result[EngineState, Failure]]]


def make_order_calls(client: HttpClient) -> OrderCalls:
    """Return the calls as requests over HTTP."""

    async def send(
        address: Address,
        order: EngineOrder,
    ) -> Result[None, Failure]:
        answer = await client.fetch(
            address,
            json_request('POST', '/v1/orders', order),
            timeout_seconds=ORDER_TIMEOUT_SECONDS,
        )
        return answer.bind(_read_sent)

    async def state(address: Address) -> Result[EngineState, Failure]:
        answer = await client.fetch(
            address,
            json_request('GET', '/v1/state'),
            timeout_seconds=STATE_TIMEOUT_SECONDS,
        )
        return answer.bind(_read_state)

    return OrderCalls(send=send, state=state)


def _read_sent(response: Response) -> Result[None, Failure]:
    if response.status == _ACCEPTED:
        return Ok(None)
    if response.status == _FENCED:
        return Error(not_run(Reason.FENCED))
    return Error(
        may_have_run(Reason.BAD_ANSWER, f'status {response.status}'),
    )


def _read_state(response: Response) -> Result[EngineState, Failure]:
    if response.status == _OK:
        return decode(response.body, EngineState)
    return Error(not_run(Reason.BAD_ANSWER, f'status {response.status}'))
