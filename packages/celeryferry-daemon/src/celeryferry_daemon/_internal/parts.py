"""The roles that run on top of leases, membership and configuration."""

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
class Base:
    """What every task of one daemon shares.

    :param settings: settings of the daemon.
    :param incarnation: random id of the process.
    :param streams: configuration, membership and held keys.
    :param peers: client of other daemons.
    :param clock: source of time.
    :param random: source of random numbers.
    :param log: receiver of decisions.
    :param registry: metrics of the daemon.
    :param mechanisms: switches for tests.
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
class Parts:
    """Roles of a daemon; a role that is None is left out.

    :param front: routes queries.
    :param owner: works for the owned upstreams.
    :param tickets: non-repeatable requests.
    """

    front: Any = None
    owner: Any = None
    tickets: Any = None

    def list_all(self) -> list[Any]:
        """Return the roles in the order of their start.

        :returns: all roles that are there.
        """
        found = (self.owner, self.front, self.tickets)
        return [part for part in found if part is not None]

    def list_routes(self, method: str) -> list[Any]:
        """Collect the routes of all roles.

        :param method: ``caller_routes`` or ``peer_routes``.
        :returns: route definitions.
        """
        routes = []
        for part in self.list_all():
            if hasattr(part, method):
                routes += getattr(part, method)()
        return routes

    async def call_all(self, method: str) -> None:
        """Call ``start`` on all roles, or ``stop`` in reverse order.

        :param method: name of the method.
        """
        parts = self.list_all()
        for part in parts if method == "start" else reversed(parts):
            called = getattr(part, method)()
            if inspect.isawaitable(called):
                await called


BuildParts = Callable[[Base, Leases, FreshnessGate], Parts]


def build_no_parts(base: Base, leases: Leases, gate: FreshnessGate) -> Parts:
    """Build a daemon that only holds leases and distributes documents.

    :param base: what every task shares.
    :param leases: leases of this host.
    :param gate: freshness of the configuration.
    :returns: no roles.
    """
    return Parts()


def build_parts(base: Base, leases: Leases, gate: FreshnessGate) -> Parts:
    """Build all roles of the product.

    :param base: what every task shares.
    :param leases: leases of this host.
    :param gate: freshness of the configuration.
    :returns: the roles.
    """
    host = base.settings.host
    shared = {
        "host": host,
        "streams": base.streams,
        "gate": gate,
        "clock": base.clock,
        "log": base.log,
        "registry": base.registry,
        "mechanisms": base.mechanisms,
    }
    limits = base.settings.limits
    calling = {"limits": limits, "peers": base.peers, "random": base.random}
    sending = {"incarnation": base.incarnation}
    return Parts(
        front=Front(**shared, **calling),
        owner=Owner(
            **shared,
            **sending,
            leases=leases,
            ticket_validity=limits.ticket_validity,
        ),
        tickets=TicketHandler(**shared, **calling, **sending),
    )
