"""Judges a soak by what its callers and upstreams saw."""

from collections import Counter

from celeryferry_standins.platform.upstream import PlatformUpstream
from tests.soak.callers import Exchange
from tests.soak.faults import Faults

# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
OK = 200
FIRST_SERVER_ERROR = 500


def find_violations(
    exchanges: list[Exchange], upstreams: list[PlatformUpstream], faults: Faults
) -> list[str]:
    """Return one line for each broken promise.

    :param exchanges: all requests; those that had not ended are only known as sent.
    """
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs)
    sent = {exchange.request_id for exchange in exchanges}
    found = [f"UNASKED {request_id}" for request_id in runs if request_id not in sent]
    for exchange in filter(lambda each: each.ended_at, exchanges):
        found += [
            f"{name} {exchange.request_id} status {exchange.status}"
            for name in list_broken(exchange, runs[exchange.request_id], faults)
        ]
    return found


def list_broken(exchange: Exchange, run_count: int, faults: Faults) -> list[str]:
    """Return the promises that one exchange breaks.

    :param run_count: how often upstreams have run it.
    """
    broken = []
    status = exchange.status
    if exchange.is_order:
        if run_count > 1:
            broken.append("TWICE")
        if status in NOT_RUN_STATUSES and run_count:
            broken.append("REFUSED")
        if status == OK and (not run_count or exchange.answered_id == ""):
            broken.append("MIXED")
        if exchange.answered_id not in ("", exchange.request_id):
            broken.append("MIXED")
    is_client_error = status is not None and OK < status < FIRST_SERVER_ERROR
    if is_client_error and status not in NOT_RUN_STATUSES:
        broken.append("DENIED")
    is_lost = status is None and not exchange.is_given_up and run_count > 0
    if is_lost and not faults.has_excuse(
        exchange.host, exchange.sent_at, exchange.ended_at
    ):
        broken.append("LOST")
    return broken
