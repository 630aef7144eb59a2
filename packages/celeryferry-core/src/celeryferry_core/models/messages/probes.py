"""Heartbeats between daemons, with leases and cell summaries."""

from typing import Annotated

import msgspec

from celeryferry_core.models import bounds
from celeryferry_core.models.messages.base import Message


class CellSummary(Message, frozen=True, omit_defaults=True):
    """How many hosts of a cell are live, as gossiped.

    :param cell: name of the cell.
    :param live_count: hosts of the cell that answered probes lately.
    :param age_ms: age of the count in milliseconds.
    :param leaving: hosts of the cell that announced a planned stop.
    :param unavailable: hosts of the cell that do not answer or have no
        configuration yet.
    """

    cell: bounds.Name
    live_count: bounds.Count
    age_ms: bounds.AgeMs
    leaving: bounds.HostIds = ()
    unavailable: bounds.HostIds = ()


class LeaseRefusal(Message, frozen=True):
    """A key that the witness did not grant.

    :param key: ownership key.
    :param holder: host id that holds an unexpired grant, empty if the witness has
        just started and grants nothing yet.
    """

    key: bounds.Name
    holder: bounds.HostId


Summaries = Annotated[
    tuple[CellSummary, ...], msgspec.Meta(max_length=bounds.MAX_ITEMS)
]
Refusals = Annotated[
    tuple[LeaseRefusal, ...], msgspec.Meta(max_length=bounds.MAX_ITEMS)
]


# Digest of a reply that is equal to the digest of the request.
SAME_DIGEST = "="


class ProbeRequest(Message, frozen=True, omit_defaults=True):
    """Heartbeat of one host to another.

    :param host_id: sender.
    :param incarnation: random id of the sending process.
    :param config_digest: digest of the sender's active documents; empty until its
        first configuration is complete.
    :param leaving: True once the sender has begun a planned stop.
    :param wanted: ownership keys that the sender wants to hold or renew.
    :param released: keys that the sender gives up.
    :param service_age_ms: not sent any more and not read, because a request may have
        waited in a socket buffer.
    :param cells: as ``service_age_ms``.
    :param sequence: number of the probe, rising within one process; a witness
        ignores the leases of a probe that arrives after a later one.
    """

    host_id: bounds.HostId
    incarnation: bounds.Incarnation
    config_digest: bounds.Digest
    leaving: bool = False
    wanted: bounds.Names = ()
    released: bounds.Names = ()
    service_age_ms: bounds.AgeMs | None = None
    cells: Summaries = ()
    sequence: bounds.Sequence = 0


class ProbeReply(Message, frozen=True, omit_defaults=True):
    """Answer to a heartbeat.

    :param host_id: answering host.
    :param config_digest: digest of the answering host's active documents, or
        ``SAME_DIGEST``.
    :param leaving: True once it has begun a planned stop.
    :param granted: keys granted to the sender.
    :param refused: keys not granted.
    :param service_age_ms: age in milliseconds of the latest confirmation that the
        configuration service answered, None if there is none.
    :param cells: summaries of cells that the answering host knows, except the cell of
        the sender.
    """

    host_id: bounds.HostId
    config_digest: bounds.Digest
    leaving: bool = False
    granted: bounds.Names = ()
    refused: Refusals = ()
    service_age_ms: bounds.AgeMs | None = None
    cells: Summaries = ()
