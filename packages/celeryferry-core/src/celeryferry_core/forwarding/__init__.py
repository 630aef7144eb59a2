"""Forwarding of callers' requests to upstreams by rule, without I/O.

Every host connects directly to the upstreams it needs; upstreams have no owner here.
"""
