"""Actions that a host's part in the network of links asks for."""

from dataclasses import dataclass

from celeryferry_core.forwarding.hosts import (
    HostInfo,
    HostsUpdate,
    LinkRole,
    RelaysUpdate,
)


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Connect to a host."""

    host: HostInfo
    role: LinkRole


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link.

    :param reason: one word for the log.
    """

    link_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class SendUpdate:
    """Send a report on some links."""

    link_ids: tuple[int, ...]
    update: HostsUpdate | RelaysUpdate


@dataclass(frozen=True, slots=True)
class AskSeeds:
    """Announce this host to seeds and ask them for relays.

    :param addresses: addresses of the seeds.
    :param wants_all: whether to ask for the relays of all domains instead of the own.
    """

    addresses: tuple[str, ...]
    wants_all: bool


Action = OpenLink | CloseLink | SendUpdate | AskSeeds
