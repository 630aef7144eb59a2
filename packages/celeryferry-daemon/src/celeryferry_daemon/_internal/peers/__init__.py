"""Interface between daemons over HTTP."""
