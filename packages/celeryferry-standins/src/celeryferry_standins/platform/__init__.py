"""Stand-ins for the users' platform: its store, its upstreams and its settings."""
