"""Opens a site of stand-ins for the users' platform, and calls its entries."""

from collections.abc import Iterable
from contextlib import asynccontextmanager

import trio

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from soak.run import reserve_ports
from soak.site import HOST, Site

PORTS_SEED = 790
READY_SECONDS = 30.0


async def wait_ready(client: HttpClient, address: Address) -> None:
    with trio.fail_after(READY_SECONDS):
        while True:
            answer = await client.fetch(
                address,
                Request(method='GET', path='/-/readiness'),
                timeout_seconds=1,
            )
            if answer.is_ok() and answer.ok.status == 200:
                return
            await trio.sleep(0.1)


@asynccontextmanager
async def open_site(
    folder,
    entries: int = 1,
    *,
    production: str = '',
    limits: dict[str, int] | None = None,
    configuration: dict[str, object] | None = None,
    **counts: int,
):
    """Open a site on ports that no other test uses."""
    with reserve_ports(PORTS_SEED) as port:
        async with trio.open_nursery() as nursery:
            site = Site(
                folder=folder,
                port=port,
                nursery=nursery,
                production=production,
                limits=limits or {},
                configuration=configuration or {},
            )
            try:
                await site.open(entries, **counts)
                yield site
            finally:
                site.close()
            nursery.cancel_scope.cancel()


async def send_calls(
    site: Site,
    names: Iterable[str],
    path: str = '/twice/x',
    *,
    entry: int = 0,
    **changes: str,
) -> list[Response]:
    """Send one call after the other to an entry."""
    client = HttpClient()
    answers = []
    for name in names:
        headers = {
            'host': HOST,
            'attempt-id': name,
            'authorization': 'Bearer key-0',
            'deadline-ms': '1500',
            **changes,
        }
        answer = await client.fetch(
            Address(host=site.entries[entry].host, port=site.port),
            Request(method='GET', path=path, headers=tuple(headers.items())),
            timeout_seconds=5,
        )
        answers.append(answer.ok)
    return answers
