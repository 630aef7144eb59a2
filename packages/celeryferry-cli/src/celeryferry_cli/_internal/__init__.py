"""Implementation of the command-line tool."""
