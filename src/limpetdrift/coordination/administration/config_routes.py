"""Serves the operator API for configuration, on every entry."""

import hmac
from collections.abc import Awaitable, Callable
from typing import Any

from limpetdrift import telemetry
from limpetdrift.coordination.configuration.configuration import (
    ConfigurationManager,
)
from limpetdrift.protocol.codec import decode, json_response
from limpetdrift.protocol.configuration import Change
from limpetdrift.protocol.operator import (
    APPLY_PATH,
    CHECK_PATH,
    CONFIGURATION_PATH,
    OPERATOR_SECRET_HEADER,
    SITE_PATH,
    VERSIONS_PATH,
    ApplyReport,
    CheckReport,
    SiteReport,
    StoredConfiguration,
    VersionsReport,
)
from limpetdrift.transport.messages import Request, Response
from limpetdrift.transport.routing import Parameters, RouteHandler, Routes
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import Reason, not_run

OperatorHandler = Callable[[Request, Parameters], Awaitable[Response]]

_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404


def add_configuration_routes(
    routes: Routes,
    manager: ConfigurationManager,
    secret: str,
) -> None:
    """Add the routes for documents, versions, checks and changes."""
    handlers = _ConfigurationHandlers(manager=manager)
    route_list: tuple[tuple[str, str, OperatorHandler], ...] = (
        ('GET', CONFIGURATION_PATH, handlers.show_documents),
        ('GET', VERSIONS_PATH, handlers.show_versions),
        ('GET', SITE_PATH + '/{site}', handlers.show_site),
        ('POST', CHECK_PATH, handlers.check),
        ('POST', APPLY_PATH, handlers.apply),
    )
    for method, path, handler in route_list:
        routes.add(method, path, operator_only(handler, secret))


def operator_only(handler: OperatorHandler, secret: str) -> RouteHandler:
    """Wrap a handler so that it requires the operators' secret.

    Requests without it get status 403. An empty secret rejects all requests.
    """

    async def handle(exchange: Exchange, parameters: Parameters) -> None:
        given = exchange.request.header(OPERATOR_SECRET_HEADER)
        matches = hmac.compare_digest(given.encode(), secret.encode())
        if not (secret and matches):
            telemetry.count('refusals', reason=Reason.FORBIDDEN)
            await exchange.respond(Response(status=_FORBIDDEN))
            return
        await exchange.respond(await handler(exchange.request, parameters))

    return handle


class _ConfigurationHandlers:
    def __init__(self, *, manager: ConfigurationManager) -> None:
        self._manager = manager

    async def show_documents(self, *_: object) -> Response:
        documents = tuple(self._manager.replica.documents.values())
        return json_response(StoredConfiguration(documents=documents))

    async def show_versions(self, *_: object) -> Response:
        entries = await self._manager.all_versions()
        return json_response(
            VersionsReport(known=self._manager.known_entries, entries=entries),
        )

    async def show_site(self, _: Request, parameters: Parameters) -> Response:
        site = parameters['site']
        replica = self._manager.replica
        merged = replica.merged(site)
        if merged is None:
            return _reject(Reason.NOT_FOUND, site, _NOT_FOUND)
        versions = {each.site: each for each in replica.sites}[site]
        return json_response(
            SiteReport(
                site=site,
                base=versions.base,
                overlay=versions.overlay,
                values=merged.values,
            ),
        )

    async def check(self, request: Request, _: Parameters) -> Response:
        change = decode(request.body, Change)
        if change.is_error():
            return _reject(Reason.BAD_REQUEST, change.error.detail)
        checked = await self._manager.check(change.ok)
        if checked.is_error():
            return json_response(
                CheckReport(versions={}, rejection=checked.error),
            )
        return json_response(CheckReport(versions=checked.ok.versions))

    async def apply(self, request: Request, _: Parameters) -> Response:
        change = decode(request.body, Change)
        if change.is_error():
            return _reject(Reason.BAD_REQUEST, change.error.detail)
        outcome = await self._manager.apply(change.ok)
        if outcome.is_error():
            return json_response(ApplyReport(rejection=outcome.error))
        return json_response(ApplyReport(accepted=outcome.ok))


def _reject(
    reason: Reason,
    detail: str,
    status: int = _BAD_REQUEST,
) -> Response:
    telemetry.count('refusals', reason=reason)
    message: Any = not_run(reason, detail)
    return json_response(message, status=status)
