"""Stand-ins of the platform, the servers and the clients for the review's scripts."""
