"""The command-line tool of celeryferry."""
