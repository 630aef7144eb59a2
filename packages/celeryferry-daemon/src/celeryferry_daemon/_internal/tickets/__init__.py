"""Tickets, which let callers run non-repeatable requests at most once."""

from celeryferry_daemon._internal.tickets.handler import TicketHandler

__all__ = ["TicketHandler"]
