"""Host list, liveness of hosts, and leases on ownership keys."""
