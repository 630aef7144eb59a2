"""Validates searches before they run and creates the errors for refused ones."""

from celeryferry_core.admission import AdmissionRefusal
from celeryferry_core.models.callers import ErrorBody, ErrorType, Ran, SearchRequest
from celeryferry_core.plans import ApplicationPlan
from celeryferry_daemon._internal.callers_http import (
    check_deadline,
    make_bad_request_error,
)

STALE_RETRY_AFTER_MS = 500


def check_search(
    search: SearchRequest, plan: ApplicationPlan | None, may_act: bool
) -> ErrorBody | None:
    """Check a search against the limits and the configuration.

    :param search: request of the caller.
    :param plan: plan of the application, None if no document names it.
    :param may_act: whether the configuration is fresh enough to start new work.
    :returns: the error to send to the caller, or None.
    """
    refusal = check_deadline(search.deadline_ms)
    if refusal is not None:
        return refusal
    if search.limit is not None and search.limit < 0:
        return make_bad_request_error(f"limit is {search.limit}; give 0 or more")
    if not may_act:
        text = "this host cannot confirm its configuration; use another entry host"
        return ErrorBody(
            ErrorType.STALE_CONFIGURATION, text, Ran.NO, STALE_RETRY_AFTER_MS
        )
    if plan is None:
        text = f"no application {search.application!r}; check the name"
        return ErrorBody(ErrorType.UNKNOWN_APPLICATION, text, Ran.NO)
    if not plan.shards:
        text = (
            f"no shard of {search.application!r} can be searched: its services are "
            "retired, or their requests run at most once; for the latter use "
            "POST /v1/tickets and POST /v1/run-once"
        )
        return make_bad_request_error(text)
    return None


def make_overload_error(refusal: AdmissionRefusal) -> ErrorBody:
    """Return the error for a query that admission refused."""
    text = (
        f"{refusal.running} queries are running on this host; "
        "retry later or use another entry host"
    )
    return ErrorBody(ErrorType.OVERLOADED, text, Ran.NO, refusal.retry_after_ms)
