"""Stand-in for the list of live and leaving hosts, which readers may see with a lag."""

import hashlib
import time

import msgspec
from aiohttp import ETag, web

from celeryferry_standins.serving import (
    ControlledService,
    json_response,
    serve_standin,
)

MS_PER_S = 1000.0
ETAG_LENGTH = 16


class ListedHost(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One host of the list.

    :param host_id: unique name of the host.
    :param failure_domain: its failure domain.
    :param callers_address: ``ip:port`` of its listener for callers.
    :param peers_address: ``ip:port`` of its listener for other daemons.
    :param state: ``live`` or ``leaving``.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    peers_address: str
    state: str = "live"


class HostListState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the list.

    :param hosts: listed hosts.
    :param leaving_upstreams: addresses of leaving upstreams.
    """

    hosts: tuple[ListedHost, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()


class ControlRequest(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Change of the list; absent fields change nothing.

    :param hosts: new hosts.
    :param leaving_upstreams: new leaving upstreams.
    :param lag_ms: age of the state that readers see, in milliseconds.
    :param down: True to close each connection without an answer.
    :param with_etag: False to answer without an ETag, each time in full.
    """

    hosts: tuple[ListedHost, ...] | None = None
    leaving_upstreams: tuple[str, ...] | None = None
    lag_ms: float | None = None
    down: bool | None = None
    with_etag: bool | None = None


def count_exchanged_bytes(request: web.BaseRequest, response: web.Response) -> int:
    """Count the bytes of a read in both directions, headers included.

    :param request: request without a body.
    :param response: prepared response.
    """
    request_line_bytes = len(f"{request.method} {request.raw_path} HTTP/1.1\r\n")
    status_line_bytes = len(f"HTTP/1.1 {response.status} {response.reason}\r\n")
    request_headers_bytes = sum(
        len(name) + len(text) + 4 for name, text in request.raw_headers
    )
    response_headers_bytes = sum(
        len(name) + len(text) + 4 for name, text in response.headers.items()
    )
    return (
        request_line_bytes
        + request_headers_bytes
        + 2
        + status_line_bytes
        + response_headers_bytes
        + 2
        + len(response.body or b"")
    )


class HostList(ControlledService):
    """The list with a listener for readers and one for control requests."""

    def __init__(self):
        super().__init__(self._handle, self._handle_control)
        self._history: list[tuple[float, HostListState]] = []
        self._lag_ms = 0.0
        self._down = False
        self._with_etag = True
        self.reads = 0
        self.exchanged_bytes = 0

    def find_visible_state(self) -> HostListState:
        """Return the state that readers see.

        :returns: latest state that is at least as old as the lag; the first state
            ever set is visible at once, because hosts start from it.
        """
        visible_until = time.monotonic() - self._lag_ms / MS_PER_S
        visible = [state for set_at, state in self._history if set_at <= visible_until]
        if visible:
            return visible[-1]
        return self._history[0][1] if self._history else HostListState()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._down:
            request.transport.abort()
            return web.Response(status=503)
        self.reads += 1
        if request.path != "/v1/hosts":
            return json_response({"error": "not found"}, 404)
        response = self._make_list_response(request)
        # Adds the headers of aiohttp, so that they are counted too.
        await response.prepare(request)
        self.exchanged_bytes += count_exchanged_bytes(request, response)
        return response

    def _make_list_response(self, request: web.BaseRequest) -> web.Response:
        response = json_response(self.find_visible_state())
        etag = ETag(hashlib.sha256(response.body).hexdigest()[:ETAG_LENGTH])
        client_etags = request.if_none_match or ()
        if self._with_etag and etag.value in {known.value for known in client_etags}:
            response = web.Response(status=304)
        if self._with_etag:
            response.etag = etag
        return response

    async def _handle_control(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/control":
            return json_response({"error": "not found"}, 404)
        if request.method == "POST":
            try:
                body = await request.read()
                change = msgspec.json.decode(body, type=ControlRequest)
            except msgspec.MsgspecError as error:
                return json_response({"error": str(error)}, 400)
            await self._apply(change)
        counts = {"reads": self.reads, "exchanged_bytes": self.exchanged_bytes}
        return json_response({"seen": self.find_visible_state(), **counts})

    async def _apply(self, change: ControlRequest) -> None:
        latest = self._history[-1][1] if self._history else HostListState()
        hosts = latest.hosts if change.hosts is None else change.hosts
        leaving = change.leaving_upstreams
        if leaving is None:
            leaving = latest.leaving_upstreams
        if change.lag_ms is not None:
            self._lag_ms = change.lag_ms
        state = HostListState(hosts, leaving)
        if state != latest or not self._history:
            self._history.append((time.monotonic(), state))
        if change.down is not None:
            self._down = change.down
        if change.with_etag is not None:
            self._with_etag = change.with_etag
        if self._down:
            await self._listener.drop_connections()


if __name__ == "__main__":
    serve_standin(HostList, __doc__)
