"""Reads the platform's list of instances, which lags behind their real state.

The format is that of docs/PLATFORM.md. Tests replace the call by an in-memory
list.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import MappingProxyType

from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.protocol.gossip import ListingState
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.table_client import read_refusal
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import (
    OK,
    Address,
    Response,
    parse_address,
)
from limpetdrift.verdict import Failure, Reason, may_have_run

CALL_TIMEOUT_SECONDS = 1.0
_LISTING_STATES = MappingProxyType(
    {'live': ListingState.LIVE, 'leaving': ListingState.LEAVING}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceListItem:
    """An endpoint and its state in the list."""

    endpoint: Endpoint
    listed: ListingState


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceList:
    """One reading of the list, as it was ``age_seconds`` before the answer.

    ``entries`` holds the peer addresses of the listed entries.
    """

    endpoints: tuple[InstanceListItem, ...]
    entries: tuple[Address, ...] = ()
    age_seconds: float = 0


ReadList = Callable[[], Awaitable[Result[InstanceList, Failure]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Instance:
    name: str
    role: str
    address: str
    service: str = ''
    failure_domain: str = ''
    state: str = 'live'
    model: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class _ListReply:
    instances: tuple[_Instance, ...]
    taken_seconds_ago: float = 0


def make_list_call(client: HttpClient, address: Address) -> ReadList:
    """Return the function that reads the list from an address."""

    async def read_list() -> Result[InstanceList, Failure]:
        answer = await client.fetch(
            address,
            json_request('GET', '/instances'),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        return answer.bind(_read_response)

    return read_list


def _read_response(response: Response) -> Result[InstanceList, Failure]:
    if response.status != OK:
        return Error(read_refusal(response))
    return decode(response.body, _ListReply).bind(_convert_list)


def _convert_list(answer: _ListReply) -> Result[InstanceList, Failure]:
    try:
        return Ok(_make_list(answer))
    except (ValueError, KeyError) as error:
        return Error(may_have_run(Reason.BAD_ANSWER, str(error)))


def _make_list(answer: _ListReply) -> InstanceList:
    entries: list[Address] = []
    endpoints: list[InstanceListItem] = []
    for instance in answer.instances:
        if instance.role in {Role.ENGINE, Role.SERVICE}:
            endpoints.append(_make_item(instance))
        elif instance.role == Role.ENTRY:
            entries.append(parse_address(instance.address))
    return InstanceList(
        endpoints=tuple(endpoints),
        entries=tuple(entries),
        age_seconds=max(0, answer.taken_seconds_ago),
    )


def _make_item(instance: _Instance) -> InstanceListItem:
    return InstanceListItem(
        listed=_LISTING_STATES[instance.state],
        endpoint=Endpoint(
            name=instance.name,
            role=Role(instance.role),
            address=parse_address(instance.address),
            failure_domain=instance.failure_domain,
            service=instance.service,
            model=instance.model,
        ),
    )
