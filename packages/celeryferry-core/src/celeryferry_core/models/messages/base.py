"""Base class of all messages between daemons."""

import msgspec


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all messages between daemons; unknown fields are an error."""
