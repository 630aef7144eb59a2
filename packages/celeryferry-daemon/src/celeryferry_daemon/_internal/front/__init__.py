"""Front role: receives the queries of callers and answers them through the owners."""

from celeryferry_daemon._internal.front.front import Front

__all__ = ["Front"]
