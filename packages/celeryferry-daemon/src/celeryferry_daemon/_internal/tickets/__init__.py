"""Tickets: non-repeatable requests of callers."""

from celeryferry_daemon._internal.tickets.desk import TicketDesk

__all__ = ["TicketDesk"]
