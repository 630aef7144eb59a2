"""Tickets: non-repeatable requests of callers."""

from celeryferry_daemon._internal.tickets.handler import TicketHandler

__all__ = ["TicketHandler"]
