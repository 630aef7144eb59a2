"""Stand-in upstream that speaks the protocol of the search applications."""
