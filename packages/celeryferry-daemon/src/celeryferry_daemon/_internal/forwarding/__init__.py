"""Forwarding daemon: every host sends callers' requests directly to the upstreams."""
