"""Adapter to the users' platform.

It translates between the formats of the platform and the types of the daemon, and
contains no decisions of the daemon.
"""
