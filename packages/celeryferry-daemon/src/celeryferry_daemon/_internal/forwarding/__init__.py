"""Daemon whose every host forwards requests of callers to the upstreams itself."""
