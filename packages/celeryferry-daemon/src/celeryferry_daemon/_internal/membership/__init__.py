"""Hosts, liveness and leases."""
