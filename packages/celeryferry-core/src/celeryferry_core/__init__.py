"""Models, messages and decisions of the celeryferry query tier."""
