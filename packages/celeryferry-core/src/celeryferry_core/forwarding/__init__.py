"""Forwarding of callers' requests to upstreams by rule, without I/O.

The forwarding daemon uses this package. Its hosts connect directly to the upstreams
they need. Owners of upstreams exist only in the query daemon.
"""
