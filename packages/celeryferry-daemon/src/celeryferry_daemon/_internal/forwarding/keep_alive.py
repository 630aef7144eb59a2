"""How long an idle connection to an upstream can be used again."""

import re
from datetime import timedelta

from celeryferry_daemon._internal.forwarding.connection import RawResponse

# Upstreams close idle connections after an idle timeout that each upstream chooses.
# This is the longest time that an idle connection is kept here; a Keep-Alive header can
# only shorten it.
MAX_IDLE_TIME = timedelta(seconds=4)
# Subtracted from the upstream's idle timeout, so that no request is sent on a
# connection that the upstream is about to close.
KEEP_ALIVE_MARGIN = timedelta(milliseconds=500)
# A longer timeout has more digits than a real one and is ignored.
_KEEP_ALIVE_TIMEOUT_S = re.compile(r"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)


def compute_max_idle_time(response: RawResponse | None) -> timedelta:
    """Return how long a connection may stay idle and still be used again.

    This is the timeout of the Keep-Alive header minus ``KEEP_ALIVE_MARGIN``, but at
    most ``MAX_IDLE_TIME``, which also applies without the header. If the result is zero
    or negative, the connection must not be used again.

    :param response: response of this exchange, None if no request was sent.
    """
    value = None if response is None else response.get_header("keep-alive")
    for parameter in (value or "").split(","):
        timeout = _KEEP_ALIVE_TIMEOUT_S.fullmatch(parameter.strip())
        if timeout is not None:
            return min(
                MAX_IDLE_TIME, timedelta(seconds=int(timeout[1])) - KEEP_ALIVE_MARGIN
            )
    return MAX_IDLE_TIME
