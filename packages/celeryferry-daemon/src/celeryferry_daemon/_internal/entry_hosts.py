"""Endpoint that tells callers which entry hosts to use."""

from aiohttp import web

from celeryferry_core.entry_hosts import choose_entry_hosts
from celeryferry_core.environment import RandomSource
from celeryferry_core.models.callers import (
    EntryHost,
    EntryHostsAnswer,
    ErrorBody,
    ErrorType,
    Ran,
)
from celeryferry_core.models.settings import LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_daemon._internal.callers_http import (
    error_response,
    json_response,
    make_bad_request_error,
)
from celeryferry_daemon._internal.streams import Streams


class EntryHostsHandler:
    """Endpoint ``GET /v1/entry-hosts``.

    :param host: this host; its failure domain is used if the caller names none.
    :param limits: contain how long an answer is valid.
    :param streams: provide membership and configuration.
    :param random: distributes callers over the hosts.
    """

    def __init__(
        self, host: Host, limits: LimitSettings, streams: Streams, random: RandomSource
    ) -> None:
        self._host = host
        self._limits = limits
        self._streams = streams
        self._random = random

    def caller_routes(self) -> list[web.RouteDef]:
        """Return the route for the caller listener."""
        return [web.get("/v1/entry-hosts", self._handle_entry_hosts)]

    async def _handle_entry_hosts(self, request: web.Request) -> web.Response:
        unknown = sorted(request.query.keys() - {"application", "failure_domain"})
        application = request.query.get("application", "")
        if unknown or not application:
            message = "send application and, if wanted, failure_domain; nothing else"
            return error_response(make_bad_request_error(message))
        services = self._streams.configuration.value.list_services(application)
        if not services:
            message = (
                f"no service document names application {application!r}; check the name"
            )
            return error_response(
                ErrorBody(ErrorType.UNKNOWN_APPLICATION, message, Ran.NO)
            )
        domain = request.query.get("failure_domain") or self._host.failure_domain
        hosts = choose_entry_hosts(
            self._streams.membership.value, services, domain, self._random
        )
        entry_hosts = tuple(
            EntryHost(h.callers_address, h.failure_domain) for h in hosts
        )
        return json_response(
            EntryHostsAnswer(entry_hosts, self._limits.entry_hosts_valid_ms)
        )
