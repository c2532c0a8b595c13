"""Tests operator commands against a site of real processes."""

import json

import trio

from limpet_standins.processes import Processes
from limpet_standins.small_site import MODEL, SiteSizes, start_site
from limpetdrift.client import Call, Client
from limpetdrift.operators import running
from limpetdrift.operators.client import OperatorClient
from limpetdrift.operators.exits import ExitCode
from limpetdrift.operators.output import Output
from limpetdrift.protocol.openai import ChatMessage
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import parse_address


async def complete_chat(site):
    client = Client(
        seeds=tuple(map(parse_address, site.entry_addresses)),
        key=site.key,
    )
    messages = (ChatMessage(role='user', content='Booth 12 has no tone'),)
    call = Call(model=MODEL, messages=messages, max_tokens=3)
    return await client.complete(call)


async def drain_and_show_status(site, secret, capsys):
    client = OperatorClient(
        entries=(parse_address(site.entry_addresses[0]),),
        secret=secret,
        http=HttpClient(),
    )
    output = Output(json=True)
    drained = await running.drain(client, output, 'engine-1')
    unknown = await running.drain(client, output, 'engine-9')
    capsys.readouterr()
    shown = await running.show_status(client, output)
    status = json.loads(capsys.readouterr().out)
    return drained, unknown, shown, status


def test_drained_endpoint_is_leaving_and_requests_still_succeed(capsys):
    with Processes() as processes:
        site = start_site(processes, SiteSizes(entries=2, engines=2))
        assert trio.run(complete_chat, site).is_ok()
        secret = (processes.folder / 'operator-secret').read_text('utf-8')
        drained, unknown, shown, status = trio.run(
            drain_and_show_status, site, secret, capsys
        )
        assert trio.run(complete_chat, site).is_ok()
    assert drained is ExitCode.DONE
    assert unknown is not ExitCode.DONE
    assert shown is ExitCode.DONE
    states = {each['name']: each['state'] for each in status['endpoints']}
    assert states == {'engine-1': 'leaving', 'engine-2': 'live'}
    assert {each['name'] for each in status['entries']} == {
        'entry-1',
        'entry-2',
    }
