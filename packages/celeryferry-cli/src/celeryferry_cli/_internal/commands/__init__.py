"""Commands of the tool, one module each."""
