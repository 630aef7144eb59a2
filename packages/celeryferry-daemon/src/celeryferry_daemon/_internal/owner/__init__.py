"""Owner role: only the holder of an ownership key sends to the key's upstreams.

It receives subqueries from fronts. The front of a query is the host that received the
query from its caller.
"""

from celeryferry_daemon._internal.owner.owner import Owner

__all__ = ["Owner"]
