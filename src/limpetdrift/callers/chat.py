"""Serves ``POST /v1/chat/completions`` and ``GET /v1/models``."""

import hashlib
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.callers.access import authenticate
from limpetdrift.callers.answers import (
    DONE_EVENT,
    KEEPALIVE_EVENT,
    SSE_HEADERS,
    completion,
    failure_event,
    finish_event,
    respond_failure,
    text_event,
    usage_event,
)
from limpetdrift.callers.headers import (
    read_deadline,
    read_key,
    read_repeatable,
)
from limpetdrift.coordination.runs.run_registry import RunRegistry
from limpetdrift.protocol.codec import decode, json_response
from limpetdrift.protocol.openai import (
    DEFAULT_MAX_TOKENS,
    KEY_HEADER,
    STREAM_HEADER,
    URGENCY_HEADER,
    ChatRequest,
    Resumption,
    prompt_text,
)
from limpetdrift.protocol.prompts import count_tokens
from limpetdrift.state.run import Run, RunRequest
from limpetdrift.state.site import SiteConfig, UrgencyConfig
from limpetdrift.transport.messages import OK, Request
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import Failure, Reason, not_run

# Interval of keep-alive comments on a stream without new tokens.
KEEPALIVE_SECONDS = 1.0

Admit = Callable[[RunRequest], Result[None, Failure]]
ReadSite = Callable[[], Result[SiteConfig, Failure]]


@dataclass(frozen=True, kw_only=True)
class ChatInputs:
    """Dependencies of the chat API.

    ``admit`` refuses a valid request that is over a limit or in quarantine,
    or that arrives while the entry drains.
    """

    read_site: ReadSite
    run_registry: RunRegistry
    admit: Admit


@dataclass(frozen=True, kw_only=True, slots=True)
class _Options:
    """Options of a request, parsed from its headers."""

    key: str
    repeatable: bool
    urgency: UrgencyConfig
    deadline_seconds: float


def add_chat_routes(routes: Routes, inputs: ChatInputs) -> None:
    """Register the routes of chat completions and of the model list."""

    async def create(exchange: Exchange, parameters: Parameters) -> None:
        await _create(exchange, inputs)

    async def list_models(exchange: Exchange, parameters: Parameters) -> None:
        await _list_models(exchange, inputs)

    routes.add('POST', '/v1/chat/completions', create)
    routes.add('GET', '/v1/models', list_models)


async def send_stream(
    exchange: Exchange,
    run: Run,
    offset: int,
    *,
    include_usage: bool,
) -> None:
    """Send a run's tokens as server-sent events, starting at an offset.

    The response head waits for the first token, so that an early failure is
    sent with its own HTTP status, but for one keep-alive interval at most.
    From then on the caller has the handle, and keep-alives let it tell a long
    wait from a dead connection.
    """
    request = run.request
    headers = (*SSE_HEADERS, (STREAM_HEADER, request.handle))
    async with aclosing(run.read(offset, KEEPALIVE_SECONDS)) as reader:
        async for texts in reader:
            if not exchange.started:
                await exchange.start(OK, headers)
            await exchange.send(_text_or_keepalive(run, texts))
    if not exchange.started:
        if run.failure is not None:
            await respond_failure(exchange, run.failure)
            return
        await exchange.start(OK, headers)
    await exchange.send(_final_events(run, include_usage=include_usage))
    await exchange.finish()


def _text_or_keepalive(run: Run, texts: list[str]) -> bytes:
    if not texts:
        return KEEPALIVE_EVENT
    request = run.request
    text = ''.join(texts)
    return text_event(request.handle, request.model, text, run.offset)


def _final_events(run: Run, *, include_usage: bool) -> bytes:
    if run.end is None:
        failure = run.failure or not_run(Reason.INTERNAL)
        return failure_event(failure) + DONE_EVENT
    handle, model = run.request.handle, run.request.model
    events = [finish_event(handle, model, run.end)]
    if include_usage:
        events.append(usage_event(handle, model, run.end))
    return b''.join((*events, DONE_EVENT))


async def _create(exchange: Exchange, inputs: ChatInputs) -> None:
    submitted = _submit(exchange.request, inputs)
    if submitted.is_error():
        await respond_failure(exchange, submitted.error)
        return
    chat, run = submitted.ok
    if chat.stream:
        usage = chat.stream_options.include_usage
        start = chat.limpet.start_offset
        await send_stream(exchange, run, start, include_usage=usage)
        return
    await run.wait_ended()
    await _respond_complete(exchange, run)


async def _respond_complete(exchange: Exchange, run: Run) -> None:
    if run.end is None:
        failure = run.failure or not_run(Reason.INTERNAL)
        await respond_failure(exchange, failure)
        return
    request = run.request
    answer = completion(request.handle, request.model, run.text, run.end)
    headers = ((STREAM_HEADER, request.handle),)
    await exchange.respond(json_response(answer, headers=headers))


def _submit(
    request: Request,
    inputs: ChatInputs,
) -> Result[tuple[ChatRequest, Run], Failure]:
    site_result = inputs.read_site()
    if site_result.is_error():
        return Error(site_result.error)
    site = site_result.ok
    account = authenticate(site, request)
    if account.is_error():
        return Error(account.error)
    chat = decode(request.body, ChatRequest)
    if chat.is_error():
        return Error(chat.error)
    options = _read_options(site, request, inputs.run_registry)
    if options.is_error():
        return Error(options.error)
    checked = _check_chat(site, account.ok, chat.ok)
    if checked.is_error():
        return Error(checked.error)
    run_request = _make_run_request(
        chat.ok,
        options.ok,
        account.ok,
        handle=inputs.run_registry.make_handle(),
        body=request.body,
    )
    telemetry.count('requests', account=account.ok)
    admitted = inputs.admit(run_request)
    if admitted.is_error():
        return Error(admitted.error)
    run = inputs.run_registry.submit(run_request)
    return run.map(lambda submitted: (chat.ok, submitted))


def _check_chat(
    site: SiteConfig,
    account: str,
    chat: ChatRequest,
) -> Result[None, Failure]:
    model = site.models.get(chat.model)
    allowed = site.accounts[account].models
    if model is None or (allowed and chat.model not in allowed):
        return Error(not_run(Reason.UNKNOWN_MODEL, chat.model))
    if not chat.messages:
        return Error(not_run(Reason.BAD_REQUEST, 'no messages'))
    if _max_tokens(chat) < 1 or chat.limpet.start_offset < 0:
        return Error(not_run(Reason.BAD_REQUEST, 'a number is out of range'))
    if chat.limpet.start_offset > _max_tokens(chat):
        return Error(not_run(Reason.BAD_REQUEST, 'offset past the end'))
    tokens = count_tokens(prompt_text(chat.messages)) + _max_tokens(chat)
    if tokens > model.context_tokens:
        detail = f'{tokens} tokens; the model takes {model.context_tokens}'
        return Error(not_run(Reason.BAD_REQUEST, detail))
    return Ok(None)


def _read_options(
    site: SiteConfig,
    request: Request,
    run_registry: RunRegistry,
) -> Result[_Options, Failure]:
    urgency_name = request.header(URGENCY_HEADER, site.default_urgency)
    urgency = site.urgencies.get(urgency_name)
    if urgency is None:
        return Error(not_run(Reason.BAD_REQUEST, f'urgency {urgency_name!r}'))
    repeatable = read_repeatable(request, default=True)
    if repeatable.is_error():
        return Error(repeatable.error)
    key = read_key(request)
    if key.is_error():
        return Error(key.error)
    if not (key.ok or repeatable.ok):
        return Error(not_run(Reason.BAD_REQUEST, KEY_HEADER))
    return read_deadline(request, urgency.deadline_seconds).map(
        lambda seconds: _Options(
            key=key.ok or run_registry.make_handle(),
            repeatable=repeatable.ok,
            urgency=urgency,
            deadline_seconds=seconds,
        ),
    )


def _make_run_request(
    chat: ChatRequest,
    options: _Options,
    account: str,
    *,
    handle: str,
    body: bytes,
) -> RunRequest:
    prompt = prompt_text(chat.messages)
    # A non-idempotent request always runs from its beginning, even if it is
    # sent again with an offset.
    resumed = chat.limpet if options.repeatable else Resumption()
    return RunRequest(
        handle=handle,
        key=options.key,
        account=account,
        model=chat.model,
        prompt=prompt,
        prompt_tokens=count_tokens(prompt),
        max_tokens=_max_tokens(chat),
        urgency=options.urgency.rank,
        deadline=trio.current_time() + options.deadline_seconds,
        fingerprint=_fingerprint(account, chat.model, prompt),
        repeatable=options.repeatable,
        start_offset=resumed.start_offset,
        delivered=resumed.delivered,
    )


def _fingerprint(account: str, model: str, prompt: str) -> str:
    identity = '\n'.join((account, model, prompt))
    return hashlib.sha256(identity.encode()).hexdigest()


def _max_tokens(chat: ChatRequest) -> int:
    for given in (chat.max_completion_tokens, chat.max_tokens):
        if given is not None:
            return given
    return DEFAULT_MAX_TOKENS


async def _list_models(exchange: Exchange, inputs: ChatInputs) -> None:
    site = inputs.read_site()
    account = site.bind(lambda read: authenticate(read, exchange.request))
    if account.is_error():
        await respond_failure(exchange, account.error)
        return
    await exchange.respond(json_response(_model_list(site.ok, account.ok)))


def _model_list(site: SiteConfig, account: str) -> dict[str, object]:
    allowed = site.accounts[account].models or tuple(site.models)
    models = [
        {'id': name, 'object': 'model', 'created': 0, 'owned_by': site.brand}
        for name in site.models
        if name in allowed
    ]
    return {'object': 'list', 'data': models}
