"""Switches that leave out one mechanism each, for tests only."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which mechanisms are active; every one is on in the product.

    Tests turn one off to show that they fail without it.

    :param lease_check: the owner checks its lease just before each send.
    :param lease_stop: the workers of a key stop when its lease is lost.
    :param cold_limit: a negative signal lowers the limit to the cold limit.
    :param domain_out: routing leaves out failure domains that are out of service.
    :param drain_check: a draining upstream and one that the host list calls leaving
        get no work.
    :param snapshot_check: partial answers of another index version are dropped.
    :param replanning: a query whose index version is gone moves to a newer one.
    :param answer_match: ids of answers are compared with what was asked.
    :param connection_close: a connection to an upstream whose answer was abandoned is
        closed.
    :param connection_retire: connections to an upstream that has given a wrong answer
        are not used again.
    :param ticket_origin: only the process that issued a ticket may run it.
    :param ticket_memory: a ticket that was sent is never sent again.
    :param sent_unknown: a request that was sent and not answered counts as unknown,
        not as not run.
    :param version_order: an older configuration version is rejected.
    :param startup_peers: a starting host asks its peers for configuration.
    :param freshness_gate: a host with possibly stale configuration takes no work.
    :param graceful_stop: a stopping host finishes its requests first.
    :param hedging: slow subqueries are repeated on another replica.
    :param admission: queries are shed fairly between services.
    :param early_refusal: an owner refuses work whose estimated answer is after its
        deadline instead of queueing it.
    :param queue_bound: the queue of an upstream is bounded.
    """

    lease_check: bool = True
    lease_stop: bool = True
    cold_limit: bool = True
    domain_out: bool = True
    drain_check: bool = True
    snapshot_check: bool = True
    replanning: bool = True
    answer_match: bool = True
    connection_close: bool = True
    connection_retire: bool = True
    ticket_origin: bool = True
    ticket_memory: bool = True
    sent_unknown: bool = True
    version_order: bool = True
    startup_peers: bool = True
    freshness_gate: bool = True
    graceful_stop: bool = True
    hedging: bool = True
    admission: bool = True
    early_refusal: bool = True
    queue_bound: bool = True
