"""HTTP interface between the daemons of ``celeryferry_daemon._internal.app``.

The forwarding daemon has an interface of its own in ``forwarding.peers``.
"""
