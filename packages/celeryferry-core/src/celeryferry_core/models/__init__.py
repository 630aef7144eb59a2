"""Data classes shared by the parts of the query tier."""
