"""Owner role: only the holder of an ownership key sends to the key's upstreams."""

from celeryferry_daemon._internal.owner.owner import Owner

__all__ = ["Owner"]
