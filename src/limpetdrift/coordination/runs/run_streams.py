"""Serves the streams of owned runs to peers, in the engines' format.

An entry that finds a request claimed by another entry follows that entry's
run here, as it would follow the stream at the engine.
"""

from contextlib import aclosing

from limpetdrift.coordination.peers import is_peer
from limpetdrift.coordination.runs.run_registry import RunRegistry
from limpetdrift.protocol.codec import (
    LINES_HEADERS,
    encode_line,
    json_response,
)
from limpetdrift.protocol.engine import EngineRefusal, StreamLine
from limpetdrift.state.run import Run
from limpetdrift.transport.messages import NOT_FOUND, OK, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import Reason

_FORBIDDEN = 403


def add_owner_stream_routes(
    routes: Routes, registry: RunRegistry, secret: str
) -> None:
    """Serve ``GET /v1/streams/{id}?offset=n`` to peers."""

    async def resume(exchange: Exchange, parameters: Parameters) -> None:
        if not is_peer(exchange.request, secret):
            await exchange.respond(Response(status=_FORBIDDEN))
            return
        stream_id = parameters['stream_id']
        run = registry.find(stream_id.rpartition('.')[0])
        if run is None:
            refusal = EngineRefusal(code=Reason.STREAM_UNKNOWN)
            await exchange.respond(json_response(refusal, status=NOT_FOUND))
            return
        offset = int(exchange.request.query.get('offset', '0'))
        await _send_lines(exchange, run, stream_id, offset)

    routes.add('GET', '/v1/streams/{stream_id}', resume)


async def _send_lines(
    exchange: Exchange,
    run: Run,
    stream_id: str,
    offset: int,
) -> None:
    await exchange.start(OK, LINES_HEADERS)
    async with aclosing(run.read(offset)) as reader:
        async for texts in reader:
            lines = [
                encode_line(
                    StreamLine(stream_id=stream_id, offset=index, text=text),
                )
                for index, text in enumerate(texts, offset)
            ]
            offset += len(texts)
            await exchange.send(b''.join(lines))
    await exchange.send(encode_line(last_line(run, stream_id)))
    await exchange.finish()


def last_line(run: Run, stream_id: str) -> StreamLine:
    """Return the line that ends the stream of a run that has ended."""
    if run.end is None:
        reason = run.failure.reason if run.failure else Reason.INTERNAL
        return StreamLine(stream_id=stream_id, error=reason)
    return StreamLine(
        stream_id=stream_id,
        offset=run.offset,
        finish=run.end.finish,
        prompt_tokens=run.end.prompt_tokens,
        cached_tokens=run.end.cached_tokens,
        completion_tokens=run.end.completion_tokens,
    )
