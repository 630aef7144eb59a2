"""The daemon of the celeryferry query tier."""
