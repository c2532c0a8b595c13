"""The operator API for configuration, on every entry."""

import hmac
from collections.abc import Awaitable, Callable
from typing import Any

from limpetdrift import telemetry
from limpetdrift.coordination.configuration import ConfigurationManager
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
from limpetdrift.protocol.verdict import Reason, not_run
from limpetdrift.transport.messages import Request, Response
from limpetdrift.transport.routing import Parameters, RouteHandler, Routes
from limpetdrift.transport.server import Exchange

Answer = Callable[[Request, Parameters], Awaitable[Response]]

_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404


def add_configuration_routes(
    routes: Routes,
    keeper: ConfigurationManager,
    secret: str,
) -> None:
    """Serve documents, checks, changes and versions to operators."""
    answers = _ConfigurationAnswers(keeper=keeper)
    table: tuple[tuple[str, str, Answer], ...] = (
        ('GET', CONFIGURATION_PATH, answers.show_documents),
        ('GET', VERSIONS_PATH, answers.show_versions),
        ('GET', SITE_PATH + '/{site}', answers.show_site),
        ('POST', CHECK_PATH, answers.check),
        ('POST', APPLY_PATH, answers.apply),
    )
    for method, path, answer in table:
        routes.add(method, path, operator_only(answer, secret))


def operator_only(answer: Answer, secret: str) -> RouteHandler:
    """Let only who knows the operators' secret get an answer.

    An empty secret lets nobody in.
    """

    async def handle(exchange: Exchange, parameters: Parameters) -> None:
        given = exchange.request.header(OPERATOR_SECRET_HEADER)
        same = hmac.compare_digest(given.encode(), secret.encode())
        if not (secret and same):
            telemetry.count('refusals', reason=Reason.FORBIDDEN)
            await exchange.respond(Response(status=_FORBIDDEN))
            return
        await exchange.respond(await answer(exchange.request, parameters))

    return handle


class _ConfigurationAnswers:
    def __init__(self, *, keeper: ConfigurationManager) -> None:
        self._keeper = keeper

    async def show_documents(self, *_: object) -> Response:
        documents = tuple(self._keeper.replica.documents.values())
        return json_response(StoredConfiguration(documents=documents))

    async def show_versions(self, *_: object) -> Response:
        entries = await self._keeper.all_versions()
        return json_response(
            VersionsReport(known=self._keeper.known_entries, entries=entries),
        )

    async def show_site(self, _: Request, parameters: Parameters) -> Response:
        site = parameters['site']
        held = self._keeper.replica
        merged = held.merged(site)
        if merged is None:
            return _refuse(Reason.NOT_FOUND, site, _NOT_FOUND)
        versions = {each.site: each for each in held.sites}[site]
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
            return _refuse(Reason.BAD_REQUEST, change.error.detail)
        checked = await self._keeper.check(change.ok)
        if checked.is_error():
            return json_response(
                CheckReport(versions={}, rejection=checked.error),
            )
        return json_response(CheckReport(versions=checked.ok.versions))

    async def apply(self, request: Request, _: Parameters) -> Response:
        change = decode(request.body, Change)
        if change.is_error():
            return _refuse(Reason.BAD_REQUEST, change.error.detail)
        outcome = await self._keeper.apply(change.ok)
        if outcome.is_error():
            return json_response(ApplyReport(rejection=outcome.error))
        return json_response(ApplyReport(accepted=outcome.ok))


def _refuse(
    reason: Reason,
    detail: str,
    status: int = _BAD_REQUEST,
) -> Response:
    telemetry.count('refusals', reason=reason)
    message: Any = not_run(reason, detail)
    return json_response(message, status=status)
