"""Adapters to the network and the clock, and the background tasks of the daemon."""
