"""Measurements of celeryferry against its baseline and its stand-ins."""
