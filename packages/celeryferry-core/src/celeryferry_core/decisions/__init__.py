"""Data classes of decisions, one module per role or subject."""
