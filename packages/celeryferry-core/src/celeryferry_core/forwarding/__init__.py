"""Forwarding of callers' requests to upstreams by rule, without I/O.

Here every host connects to every upstream that it needs, so no host owns one.
"""
