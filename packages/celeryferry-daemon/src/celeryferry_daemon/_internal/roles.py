"""Builds the roles that use leases, membership and configuration."""

import inspect
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aioprometheus import Registry

from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.settings import DaemonSettings
from celeryferry_core.ports import DecisionLog, FreshnessGate, Leases, PeerClient
from celeryferry_daemon._internal.front import Front
from celeryferry_daemon._internal.owner import Owner
from celeryferry_daemon._internal.streams import Streams
from celeryferry_daemon._internal.tickets import TicketHandler


@dataclass(frozen=True, slots=True)
class DaemonContext:
    """Dependencies that all tasks of one daemon share.

    :param settings: validated settings of the daemon.
    :param incarnation: random id of the process.
    :param streams: configuration, membership and held keys.
    :param peers: client for other daemons.
    :param clock: source of time.
    :param random: source of random numbers.
    :param log: receives decisions.
    :param registry: registry that metrics are added to.
    :param mechanisms: switches that tests use to turn mechanisms off.
    """

    settings: DaemonSettings
    incarnation: str
    streams: Streams
    peers: PeerClient
    clock: Clock
    random: RandomSource
    log: DecisionLog
    registry: Registry
    mechanisms: Mechanisms


@dataclass(frozen=True, slots=True)
class Roles:
    """Roles of a daemon; a role that is None does not run.

    :param front: routes the queries of callers.
    :param owner: sends work to the upstreams that this host owns.
    :param tickets: handles requests that must run at most once.
    """

    front: Any = None
    owner: Any = None
    tickets: Any = None

    def list_all(self) -> list[Any]:
        """Return the roles that run, in the order in which they start."""
        roles = (self.owner, self.front, self.tickets)
        return [role for role in roles if role is not None]

    def list_routes(self, method: str) -> list[Any]:
        """Return the routes of all roles that have a method.

        :param method: ``caller_routes`` or ``peer_routes``.
        """
        routes = []
        for role in self.list_all():
            if hasattr(role, method):
                routes += getattr(role, method)()
        return routes

    async def call_all(self, method: str) -> None:
        """Call ``start`` on all roles in their order, or ``stop`` in reverse order.

        :param method: ``start`` or ``stop``.
        """
        running_roles = self.list_all()
        for role in running_roles if method == "start" else reversed(running_roles):
            called = getattr(role, method)()
            if inspect.isawaitable(called):
                await called


BuildRoles = Callable[[DaemonContext, Leases, FreshnessGate], Roles]


def build_no_roles(
    context: DaemonContext, leases: Leases, gate: FreshnessGate
) -> Roles:
    """Return no roles, for a daemon that only holds leases and distributes documents.

    The parameters are those of ``BuildRoles`` and are not used.
    """
    return Roles()


def build_roles(context: DaemonContext, leases: Leases, gate: FreshnessGate) -> Roles:
    """Build the front, owner and ticket roles.

    :param context: dependencies that all tasks share.
    :param leases: leases of this host.
    :param gate: decides whether new work may start.
    """
    host = context.settings.host
    shared_arguments = {
        "host": host,
        "streams": context.streams,
        "gate": gate,
        "clock": context.clock,
        "log": context.log,
        "registry": context.registry,
        "mechanisms": context.mechanisms,
    }
    limits = context.settings.limits
    front_arguments = {
        "limits": limits,
        "peers": context.peers,
        "random": context.random,
    }
    incarnation_argument = {"incarnation": context.incarnation}
    return Roles(
        front=Front(**shared_arguments, **front_arguments),
        owner=Owner(
            **shared_arguments,
            **incarnation_argument,
            leases=leases,
            ticket_validity=limits.ticket_validity,
        ),
        tickets=TicketHandler(
            **shared_arguments, **front_arguments, **incarnation_argument
        ),
    )
