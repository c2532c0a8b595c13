"""Serves ``/services/{name}/{path...}``: calls to plain services by name.

The call is forwarded to an endpoint of the service without the caller's
bearer key, and the endpoint's answer is returned. Hop-by-hop headers are
removed from both, which are unchanged otherwise.

The header ``x-limpet-repeatable`` says whether a call may run more than once;
without it, the call may if the site's configuration lists its method.
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
from limpetdrift.coordination.services.service_caller import ServiceCaller
from limpetdrift.coordination.services.service_messages import ServiceRequest
from limpetdrift.protocol.codec import encode
from limpetdrift.state.site import ServiceConfig
from limpetdrift.transport.messages import Request
from limpetdrift.transport.routing import ANY_METHOD, Parameters, Routes
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import Failure, Reason, not_run

SERVICES_PATTERN = '/services/{name}/{path...}'

AdmitCall = Callable[[ServiceRequest], Result[None, Failure]]


@dataclass(frozen=True, kw_only=True)
class ServiceInputs:
    """Dependencies of the service API.

    ``admit`` refuses a valid call that is over a limit, or that arrives while
    the entry drains. ``make_handle`` returns a new request key.
    """

    read_site: ReadSite
    caller: ServiceCaller
    make_handle: Callable[[], str]
    admit: AdmitCall


def add_service_routes(routes: Routes, inputs: ServiceInputs) -> None:
    """Register the route of calls to plain services."""

    async def call(exchange: Exchange, parameters: Parameters) -> None:
        outcome = await _call(inputs, exchange.request, parameters)
        if outcome.is_error():
            await respond_failure(exchange, outcome.error)
            return
        await exchange.respond(outcome.ok)

    routes.add(ANY_METHOD, SERVICES_PATTERN, call)


async def _call(
    inputs: ServiceInputs, request: Request, parameters: Parameters
):
    service_request = _make_request(inputs, request, parameters)
    if service_request.is_error():
        return service_request
    admitted = inputs.admit(service_request.ok)
    if admitted.is_error():
        return admitted
    telemetry.count('requests', account=service_request.ok.account)
    return await inputs.caller.serve(service_request.ok)


def _make_request(
    inputs: ServiceInputs,
    request: Request,
    parameters: Parameters,
) -> Result[ServiceRequest, Failure]:
    site_result = inputs.read_site()
    if site_result.is_error():
        return Error(site_result.error)
    site = site_result.ok
    account = authenticate(site, request)
    if account.is_error():
        return Error(account.error)
    name = parameters['name']
    config = site.services.get(name)
    if config is None:
        return Error(not_run(Reason.NOT_FOUND, f'service {name!r}'))
    forwarded = replace(request, path=f'/{parameters["path"]}')
    return _read_options(request, config).map(
        lambda options: ServiceRequest(
            handle=inputs.make_handle(),
            key=options.key,
            account=account.ok,
            service=name,
            request=forwarded,
            fingerprint=_fingerprint(name, forwarded),
            repeatable=options.repeatable,
            deadline=trio.current_time() + options.deadline_seconds,
            attempt_seconds=config.timeout_seconds,
        ),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Options:
    """Options of a call, parsed from its headers."""

    key: str
    repeatable: bool
    deadline_seconds: float


def _read_options(
    request: Request,
    config: ServiceConfig,
) -> Result[_Options, Failure]:
    is_listed = request.method in config.repeatable_methods
    repeatable = read_repeatable(request, default=is_listed)
    if repeatable.is_error():
        return Error(repeatable.error)
    key = read_key(request)
    if key.is_error():
        return Error(key.error)
    # Leaves a repeatable call time for a second attempt after the first one
    # has timed out.
    attempts = 2 if repeatable.ok else 1
    seconds = read_deadline(request, config.timeout_seconds * attempts)
    if seconds.is_error():
        return Error(seconds.error)
    return Ok(
        _Options(
            key=key.ok,
            repeatable=repeatable.ok,
            deadline_seconds=seconds.ok,
        ),
    )


def _fingerprint(service: str, request: Request) -> str:
    identity = (service, request.method, request.path, request.query)
    digest = hashlib.sha256(encode(identity))
    digest.update(request.body)
    return digest.hexdigest()
