"""Stand-ins for outside systems, the load generator and the test daemon."""
