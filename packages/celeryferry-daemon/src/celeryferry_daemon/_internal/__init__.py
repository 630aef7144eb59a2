"""Adapters and tasks of the daemon."""
