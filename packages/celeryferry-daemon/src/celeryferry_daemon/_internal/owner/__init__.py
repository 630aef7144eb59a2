"""Owner role: sole access to the upstreams of the held ownership keys."""

from celeryferry_daemon._internal.owner.owner import Owner

__all__ = ["Owner"]
