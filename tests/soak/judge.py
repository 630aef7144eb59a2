"""Judges a soak by what its callers and upstreams saw."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from celeryferry_standins.platform.upstream import PlatformUpstream
from tests.soak.callers import Exchange
from tests.soak.faults import Faults
from tests.soak.history import DOWNGRADE_SLACK_S, DRAIN_S, History, Version

# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
OK = 200
NOT_FOUND = 404
HEAD_TOO_LARGE = 431
FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached an upstream."""

    upstream: PlatformUpstream
    at: float


def find_violations(
    exchanges: list[Exchange],
    upstreams: list[PlatformUpstream],
    faults: Faults,
    history: History,
) -> list[str]:
    """Return one line for each broken promise.

    :param exchanges: all requests; those that had not ended are only known as sent.
    """
    runs: Counter[str] = Counter()
    arrivals: defaultdict[str, list[Arrival]] = defaultdict(list)
    for upstream in upstreams:
        runs.update(upstream.runs)
        for request_id, at in upstream.arrivals:
            arrivals[request_id].append(Arrival(upstream, at))
    sent = {exchange.request_id for exchange in exchanges}
    found = [f"UNASKED {request_id}" for request_id in runs if request_id not in sent]
    ended = [exchange for exchange in exchanges if exchange.ended_at]
    for exchange in ended:
        run_by = list_services(exchange, arrivals[exchange.request_id])
        broken = list_broken(exchange, runs[exchange.request_id], faults)
        broken += list_broken_by_version(exchange, run_by, history)
        size = "large" if exchange.has_large_head else "small"
        found += [
            f"{name} {exchange.request_id} status {exchange.status} {exchange.path} "
            f"{size} head, {exchange.sent_at - faults.started_at:.3f} s, "
            f"run by {sorted(run_by)}"
            for name in broken
        ]
    for exchange in exchanges:
        found += find_late_arrivals(exchange, arrivals[exchange.request_id], history)
    by_host = defaultdict(list)
    for exchange in sorted(ended, key=lambda each: each.sent_at):
        by_host[exchange.host.name].append(exchange)
    for host_exchanges in by_host.values():
        found += find_regressions(host_exchanges, arrivals, history)
    return found


def list_services(exchange: Exchange, arrivals: list[Arrival]) -> frozenset[str]:
    """Return the services whose upstreams have run a request."""
    return frozenset(
        arrival.upstream.service
        for arrival in arrivals
        if arrival.upstream.runs[exchange.request_id]
    )


def list_broken(exchange: Exchange, run_count: int, faults: Faults) -> list[str]:
    """Return the promises that one exchange breaks under every configuration.

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
    by_version = (NOT_FOUND, HEAD_TOO_LARGE)
    if is_client_error and status not in (*NOT_RUN_STATUSES, *by_version):
        broken.append("DENIED")
    is_lost = status is None and not exchange.is_given_up and run_count > 0
    if is_lost and not faults.has_excuse(
        exchange.host, exchange.sent_at, exchange.ended_at
    ):
        broken.append("LOST")
    return broken


def list_broken_by_version(
    exchange: Exchange, run_by: frozenset[str], history: History
) -> list[str]:
    """Return the promises that an exchange breaks under all versions in force.

    :param run_by: services that have run it.
    """
    versions = history.list_allowed(
        exchange.host.name, exchange.sent_at, exchange.ended_at
    )
    broken = []
    if exchange.status == NOT_FOUND and not any(
        version.get_services(exchange.path) is None for version in versions
    ):
        broken.append("DENIED")
    if exchange.status == HEAD_TOO_LARGE and (
        not exchange.has_large_head or all(v.allows_large_heads for v in versions)
    ):
        broken.append("DENIED")
    is_run_by_one = any(
        run_by <= (version.get_services(exchange.path) or frozenset())
        for version in versions
    )
    # A lowered limit comes into force some time after the routes of its version, so the
    # two are judged one by one.
    is_size_allowed = not exchange.has_large_head or any(
        version.allows_large_heads for version in versions
    )
    if run_by and not (is_run_by_one and is_size_allowed):
        broken.append("CONFIG")
    return broken


def find_late_arrivals(
    exchange: Exchange, arrivals: list[Arrival], history: History
) -> list[str]:
    """Return a violation for each arrival at an upstream that had long been leaving."""
    binding = [
        (drain, history.find_stable_acknowledgement(drain.span.began_at))
        for drain in history.drains
    ]
    return [
        f"DRAIN {exchange.request_id} at {arrival.upstream.instance_id} after "
        f"{arrival.at - drain.span.began_at:.3f} s"
        for arrival in arrivals
        for drain, acked_at in binding
        if drain.upstream is arrival.upstream
        and acked_at + DRAIN_S < arrival.at < drain.span.ended_at
        and history.is_in_touch(exchange.host.name, exchange.sent_at, arrival.at)
    ]


def find_regressions(
    exchanges: list[Exchange], arrivals: dict[str, list[Arrival]], history: History
) -> list[str]:
    """Return a violation for each request by a version older than one in effect.

    This holds within one process of a host, in touch or not.

    :param exchanges: requests to one host, in the order in which they were sent.
    """
    found = []
    effects: list[tuple[float, list[Version]]] = []
    process, oldest = 0, 0
    for exchange in exchanges:
        host_name = exchange.host.name
        starts = history.count_starts(host_name, exchange.sent_at)
        if starts != process:
            process, oldest = starts, 0
            effects.clear()
        if history.count_starts(host_name, exchange.ended_at) != process:
            continue
        for effect in sorted(effects, key=lambda pair: pair[0]):
            if effect[0] >= exchange.sent_at - DOWNGRADE_SLACK_S:
                break
            effects.remove(effect)
            oldest = min(
                (v.number for v in effect[1] if v.number >= oldest), default=oldest
            )
        reached = arrivals.get(exchange.request_id, [])
        versions = list_explaining(exchange, reached, history)
        # What no version explains is found by ``list_broken_by_version``.
        if not versions:
            continue
        if not any(version.number >= oldest for version in versions):
            found.append(
                f"CONFIG {exchange.request_id} after version {oldest} was in effect"
            )
        elif reached:
            effects.append((min(each.at for each in reached), versions))
    return found


def list_explaining(
    exchange: Exchange, arrivals: list[Arrival], history: History
) -> list[Version] | None:
    """Return the versions that explain what became of a request.

    :returns: the versions, None if it can't be told.
    """
    run_by = list_services(exchange, arrivals)
    published = [v for v in history.versions if v.published_at <= exchange.ended_at]
    if run_by:
        return [
            version
            for version in published
            if run_by <= (version.get_services(exchange.path) or frozenset())
        ]
    if exchange.status == NOT_FOUND:
        return [v for v in published if v.get_services(exchange.path) is None]
    return None
