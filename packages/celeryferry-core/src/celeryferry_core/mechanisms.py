"""Switches that turn off one mechanism each, for tests only."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """The mechanisms that are active; all of them are on in production.

    Tests turn one off to show that the fault it prevents then occurs.

    :param lease_check: the owner checks its lease just before it sends a request.
    :param lease_stop: the owner stops the workers of the upstreams of a key when it
        loses the lease on the key.
    :param cold_limit: a negative signal lowers the limit to the cold limit.
    :param domain_out: routing skips failure domains that are out of service.
    :param drain_check: draining upstreams and those that the host list marks as leaving
        get no work.
    :param snapshot_check: partial answers from another index version are discarded.
    :param replanning: a query whose index version is gone moves to a newer one.
    :param answer_match: ids in answers are compared with those in the requests.
    :param connection_close: the connection to an upstream is closed when its answer is
        abandoned.
    :param connection_retire: connections to an upstream that returned a wrong answer
        are not reused.
    :param ticket_origin: only the process that issued a ticket may run it.
    :param ticket_memory: a ticket that was sent is never sent again.
    :param sent_unknown: the outcome of a request that was sent and not answered is
        unknown; it is not reported as not run.
    :param version_order: an older configuration version is rejected.
    :param startup_peers: a starting host asks its peers for configuration.
    :param freshness_gate: a host whose configuration may be stale accepts no work.
    :param graceful_stop: a stopping host completes its requests first.
    :param hedging: slow subqueries are sent to another replica as well.
    :param admission: queries are admitted fairly across applications.
    :param early_refusal: an owner refuses work instead of queueing it if the estimated
        time of the answer is after the deadline.
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
