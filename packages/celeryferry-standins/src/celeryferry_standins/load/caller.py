"""Caller that caches entry hosts while they are valid and fails over between them."""

import random
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from celeryferry_core.models.callers import (
    EntryHostsAnswer,
    ErrorAnswer,
    ErrorBody,
    ErrorType,
    Ran,
    RunOnceAnswer,
    SearchAnswer,
    TicketAnswer,
)

MAX_ATTEMPTS = 3
# Limit of a request for entry hosts or for a ticket.
ENTRY_HOST_TIMEOUT_S = 2.0
# Added to the deadline of a request. An answer sent just before the deadline has to
# reach the caller, which would miss it if it timed out at the deadline itself.
ANSWER_MARGIN_S = 1.0
# For this long, a host that failed is tried only after the other hosts.
AVOID_HOST_S = 2.0
# Errors that mean that this host, but not the fleet, cannot serve now.
FAILOVER_ERROR_TYPES = frozenset({ErrorType.STARTING, ErrorType.STALE_CONFIGURATION})
NO_ENTRY_HOST_ERROR = ErrorBody(ErrorType.INTERNAL, "no entry host answered", Ran.NO)


@dataclass(slots=True)
class Reply:
    """Outcome of one request of a caller.

    :param content: decoded answer, None after an error.
    :param error: error, None after an answer.
    :param address: entry host that answered, empty if none did.
    :param failovers: entry hosts that failed before.
    :param no_host_answered: True if no entry host sent a valid response.
    """

    content: SearchAnswer | RunOnceAnswer | TicketAnswer | None = None
    error: ErrorBody | None = None
    address: str = ""
    failovers: int = 0
    no_host_answered: bool = False


@dataclass(slots=True)
class EntryHostCache:
    """Entry hosts that a caller has cached.

    :param seed_addresses: hosts to contact first.
    :param addresses: hosts of the latest answer.
    :param valid_until: monotonic time in seconds until which ``addresses`` are valid.
    :param avoided_until: monotonic time by address until which a host is avoided.
    """

    seed_addresses: tuple[str, ...]
    addresses: tuple[str, ...] = ()
    valid_until: float = 0.0
    avoided_until: dict[str, float] = field(default_factory=dict)

    def list_candidates(self) -> list[str]:
        """List the hosts to use, those that failed recently last."""
        now = time.monotonic()
        hosts = list(self.addresses)
        return sorted(
            hosts, key=lambda address: self.avoided_until.get(address, 0.0) > now
        )

    def avoid(self, address: str) -> None:
        """Use a host only after the others for ``AVOID_HOST_S``.

        :param address: the host that failed.
        """
        self.avoided_until[address] = time.monotonic() + AVOID_HOST_S


class Caller:
    """One caller of an application.

    :param session: HTTP client session.
    :param application: application to use.
    :param seed_addresses: addresses of the entry hosts to contact first.
    :param failure_domain: the caller's failure domain, empty if it has none.
    :param random_source: spreads requests over the entry hosts.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        application: str,
        seed_addresses: tuple[str, ...],
        failure_domain: str = "",
        random_source: random.Random | None = None,
    ):
        self._session = session
        self._application = application
        self._failure_domain = failure_domain
        self._hosts = EntryHostCache(seed_addresses)
        self._random = random_source or random.Random(0)

    async def _refresh_entry_hosts(self) -> None:
        if time.monotonic() < self._hosts.valid_until:
            return
        # Set before the first fetch, so that concurrent requests do not fetch too.
        previous_valid_until = self._hosts.valid_until
        self._hosts.valid_until = time.monotonic() + ENTRY_HOST_TIMEOUT_S
        for address in [*self._hosts.list_candidates(), *self._hosts.seed_addresses]:
            answer = await self._fetch_entry_hosts(address)
            if answer is not None and answer.hosts:
                addresses = tuple(host.address for host in answer.hosts)
                self._hosts.addresses = addresses
                validity_s = answer.valid_for_ms / 1000
                self._hosts.valid_until = time.monotonic() + validity_s
                return
        self._hosts.valid_until = previous_valid_until

    async def _fetch_entry_hosts(self, address: str) -> EntryHostsAnswer | None:
        query = {"application": self._application}
        if self._failure_domain:
            query["failure_domain"] = self._failure_domain
        url = f"http://{address}/v1/entry-hosts"
        timeout = aiohttp.ClientTimeout(total=ENTRY_HOST_TIMEOUT_S)
        try:
            async with self._session.get(
                url, params=query, timeout=timeout
            ) as response:
                body = await response.read()
                if response.status != 200:
                    return None
                return msgspec.json.decode(body, type=EntryHostsAnswer)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None

    def _order_hosts(self) -> list[str]:
        candidates = self._hosts.list_candidates() or list(self._hosts.seed_addresses)
        now = time.monotonic()
        preferred = [
            address
            for address in candidates
            if self._hosts.avoided_until.get(address, 0.0) <= now
        ]
        avoided = [address for address in candidates if address not in preferred]
        self._random.shuffle(preferred)
        return [*preferred, *avoided]

    async def search(
        self, query: Any, deadline_ms: int, limit: int | None = None
    ) -> Reply:
        """Search all shards of the application.

        :param query: any JSON value.
        :param deadline_ms: longest time in milliseconds.
        :param limit: largest number of hits, None for all.
        :returns: answer or error.
        """
        body = {
            "application": self._application,
            "query": query,
            "deadline_ms": deadline_ms,
        }
        if limit is not None:
            body["limit"] = limit
        return await self._send("/v1/search", body, deadline_ms, SearchAnswer)

    async def request_ticket(self, service: str | None = None) -> Reply:
        """Request a ticket for a non-repeatable request.

        :param service: service of the request, None if there is only one.
        :returns: ticket or error.
        """
        body = {"application": self._application}
        if service is not None:
            body["service"] = service
        limit_ms = int(ENTRY_HOST_TIMEOUT_S * 1000)
        return await self._send("/v1/tickets", body, limit_ms, TicketAnswer)

    async def run_once(self, ticket: str, request: Any, deadline_ms: int) -> Reply:
        """Run a request under a ticket, which makes it safe to repeat the call.

        :param request: any JSON value.
        :param deadline_ms: longest time in milliseconds.
        :returns: result or error.
        """
        body = {"ticket": ticket, "request": request, "deadline_ms": deadline_ms}
        return await self._send("/v1/run-once", body, deadline_ms, RunOnceAnswer)

    async def _send(
        self, path: str, body: dict[str, Any], deadline_ms: int, answer_type: type
    ) -> Reply:
        await self._refresh_entry_hosts()
        reply = Reply(error=NO_ENTRY_HOST_ERROR, no_host_answered=True)
        failovers = 0
        for address in self._order_hosts()[:MAX_ATTEMPTS]:
            host_reply = await self._send_to(
                address, path, body, deadline_ms, answer_type
            )
            if host_reply is not None:
                host_reply.failovers = failovers
                reply = host_reply
                if (
                    host_reply.error is None
                    or host_reply.error.type not in FAILOVER_ERROR_TYPES
                ):
                    return host_reply
            self._hosts.avoid(address)
            failovers += 1
        reply.failovers = failovers
        return reply

    async def _send_to(
        self, address: str, path: str, body: Any, deadline_ms: int, answer_type: type
    ) -> Reply | None:
        total_s = deadline_ms / 1000 + ANSWER_MARGIN_S
        timeout = aiohttp.ClientTimeout(total=total_s)
        url = f"http://{address}{path}"
        data = msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(
                url, data=data, timeout=timeout, headers=headers
            ) as response:
                content = await response.read()
                if response.status == 200:
                    answer = msgspec.json.decode(content, type=answer_type)
                    return Reply(content=answer, address=address)
                error = msgspec.json.decode(content, type=ErrorAnswer).error
                return Reply(error=error, address=address)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None
