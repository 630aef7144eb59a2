"""Data classes of decisions, one module per component."""
