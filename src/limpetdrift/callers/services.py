"""``/services/{name}/{path...}``: calls to plain services by name.

The call goes on to an instance of the service as it came, without the
caller's bearer key, and the instance's answer comes back as it is. A call is
repeatable if the site's configuration lists its method, or its header says
so.
"""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.callers.access import authenticate
from limpetdrift.callers.answers import respond_failure
from limpetdrift.callers.chat import ReadSite
from limpetdrift.callers.headers import (
    read_deadline,
    read_key,
    read_repeatable,
)
from limpetdrift.coordination.service_caller import ServiceCaller
from limpetdrift.coordination.service_messages import ServiceRequest
from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.state.site import ServiceConfig
from limpetdrift.transport.messages import Request
from limpetdrift.transport.routing import ANY_METHOD, Parameters, Routes
from limpetdrift.transport.server import Exchange

SERVICES_PATTERN = '/services/{name}/{path...}'

AdmitCall = Callable[[ServiceRequest], Result[None, Failure]]


@dataclass(frozen=True, kw_only=True)
class ServiceInputs:
    """What the service API works with.

    ``admit`` may refuse a well-formed call: limits, drain. ``make_handle``
    returns a new request key.
    """

    read_site: ReadSite
    caller: ServiceCaller
    make_handle: Callable[[], str]
    admit: AdmitCall


def add_service_routes(routes: Routes, parts: ServiceInputs) -> None:
    """Serve calls to plain services."""

    async def call(exchange: Exchange, parameters: Parameters) -> None:
        outcome = await _call(parts, exchange.request, parameters)
        if outcome.is_error():
            await respond_failure(exchange, outcome.error)
            return
        await exchange.respond(outcome.ok)

    routes.add(ANY_METHOD, SERVICES_PATTERN, call)


async def _call(parts: ServiceInputs, request: Request, parameters: Parameters):
    made = _make_request(parts, request, parameters)
    if made.is_error():
        return made
    admitted = parts.admit(made.ok)
    if admitted.is_error():
        return admitted
    telemetry.count('requests', account=made.ok.account)
    return await parts.caller.serve(made.ok)


def _make_request(
    parts: ServiceInputs,
    request: Request,
    parameters: Parameters,
) -> Result[ServiceRequest, Failure]:
    opened = parts.read_site()
    if opened.is_error():
        return Error(opened.error)
    site = opened.ok
    account = authenticate(site, request)
    if account.is_error():
        return Error(account.error)
    name = parameters['name']
    config = site.services.get(name)
    if config is None:
        return Error(not_run(Reason.NOT_FOUND, f'service {name!r}'))
    inner = replace(request, path=f'/{parameters["path"]}')
    return _read_marks(request, config).map(
        lambda marks: ServiceRequest(
            handle=parts.make_handle(),
            key=marks.key,
            account=account.ok,
            service=name,
            request=inner,
            fingerprint=_fingerprint(name, inner),
            repeatable=marks.repeatable,
            deadline=trio.current_time() + marks.deadline_seconds,
            attempt_seconds=config.timeout_seconds,
        ),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Marks:
    """What the caller's headers say."""

    key: str
    repeatable: bool
    deadline_seconds: float


def _read_marks(
    request: Request,
    config: ServiceConfig,
) -> Result[_Marks, Failure]:
    listed = request.method in config.repeatable_methods
    repeatable = read_repeatable(request, default=listed)
    if repeatable.is_error():
        return Error(repeatable.error)
    key = read_key(request)
    if key.is_error():
        return Error(key.error)
    # A repeatable call has time for one attempt that nobody answers.
    attempts = 2 if repeatable.ok else 1
    seconds = read_deadline(request, config.timeout_seconds * attempts)
    if seconds.is_error():
        return Error(seconds.error)
    return Ok(
        _Marks(
            key=key.ok,
            repeatable=repeatable.ok,
            deadline_seconds=seconds.ok,
        ),
    )


def _fingerprint(service: str, request: Request) -> str:
    named = (service, request.method, request.path, request.query)
    digest = hashlib.sha256(encode(named))
    digest.update(request.body)
    return digest.hexdigest()
