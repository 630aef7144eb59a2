"""What the daemons of a running fleet report about themselves."""

import re

import aiohttp
import msgspec

from celeryferry_core.models.status import DaemonStatus
from celeryferry_standins.launcher import FLEET_TOKEN, Fleet

SAMPLE = re.compile(r"^(\w+)(?:\{(.*?)\})? (\S+)", re.MULTILINE)


async def read_status(fleet: Fleet, host_id: str) -> DaemonStatus:
    """Read the status of a daemon.

    :param fleet: running fleet.
    :param host_id: host of the daemon.
    """
    url = f"http://{fleet.daemons[host_id].host.peers_address}/operator/v1/status"
    headers = {"Authorization": f"Bearer {FLEET_TOKEN}"}
    async with fleet.session.get(url, headers=headers) as response:
        return msgspec.json.decode(await response.read(), type=DaemonStatus)


async def read_metrics(fleet: Fleet, host_id: str) -> dict[tuple[str, str], float]:
    """Read the metrics of a daemon.

    :param fleet: running fleet.
    :param host_id: host of the daemon.
    :returns: values by name and label text.
    """
    url = f"http://{fleet.daemons[host_id].host.peers_address}/metrics"
    async with fleet.session.get(url) as response:
        text = await response.text()
    return {
        (name, labels): float(value) for name, labels, value in SAMPLE.findall(text)
    }


async def count_subqueries(fleet: Fleet, host_id: str) -> float:
    """Return how many requests to upstreams a daemon has finished as their owner.

    The daemon publishes the figure with its health polls, every 500 ms.

    :param fleet: running fleet.
    :param host_id: host of the daemon.
    """
    metrics = await read_metrics(fleet, host_id)
    return sum(
        value
        for (name, _), value in metrics.items()
        if name == "celeryferry_owner_requests_total"
    )


async def measure_header_bytes(fleet: Fleet, host_id: str) -> int:
    """Return the bytes of the headers of one control call, both directions.

    :param fleet: running fleet.
    :param host_id: host that is called.
    """
    address = fleet.daemons[host_id].host.peers_address
    sent = 0

    async def add_sent(_session, _context, params) -> None:
        nonlocal sent
        first = len(f"{params.method} {params.url.path} HTTP/1.1\r\n")
        pairs = params.headers.items()
        sent += first + 2 + sum(len(name) + len(text) + 4 for name, text in pairs)

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(add_sent)
    headers = {
        "Authorization": f"Bearer {FLEET_TOKEN}",
        "Content-Type": "application/json",
    }
    skipped = ("User-Agent", "Accept", "Accept-Encoding")
    async with (
        aiohttp.ClientSession(
            trace_configs=[trace], headers=headers, skip_auto_headers=skipped
        ) as session,
        session.post(f"http://{address}/peer/v1/probe", data=b"{}") as response,
    ):
        pairs = response.raw_headers
        status_line = len(f"HTTP/1.1 {response.status} {response.reason}\r\n")
        received = sum(len(name) + len(text) + 4 for name, text in pairs)
        return sent + status_line + 2 + received
