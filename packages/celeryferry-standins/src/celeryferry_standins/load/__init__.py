"""Load generator that uses the callers' interface as a caller does."""
