"""Front role: takes queries of callers and answers them from the owners."""

from celeryferry_daemon._internal.front.front import Front

__all__ = ["Front"]
