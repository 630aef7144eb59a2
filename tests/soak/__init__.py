"""Soak of the forwarding daemon: real processes, random faults, and a judge."""
