"""Probes between daemons, with leases and cell summaries."""

from typing import Annotated

import msgspec

from celeryferry_core.models import bounds
from celeryferry_core.models.messages.base import Message


class CellSummary(Message, frozen=True, omit_defaults=True):
    """Number of live hosts of a cell, spread by gossip.

    :param live_count: number of hosts of the cell that answered probes recently.
    :param age_ms: age of the count in milliseconds.
    :param leaving: ids of the cell's hosts that announced a planned stop.
    :param unavailable: ids of the cell's hosts that do not answer or have no
        configuration yet.
    """

    cell: bounds.ShortText
    live_count: bounds.Count
    age_ms: bounds.AgeMs
    leaving: bounds.HostIds = ()
    unavailable: bounds.HostIds = ()


class LeaseRefusal(Message, frozen=True):
    """An ownership key that the witness did not grant.

    :param holder: id of the host with an unexpired grant; empty if the witness has just
        started and grants nothing yet.
    """

    key: bounds.ShortText
    holder: bounds.HostId


Summaries = Annotated[
    tuple[CellSummary, ...], msgspec.Meta(max_length=bounds.MAX_ITEMS)
]
Refusals = Annotated[
    tuple[LeaseRefusal, ...], msgspec.Meta(max_length=bounds.MAX_ITEMS)
]


# Sent in a reply instead of a digest that is equal to the one in the request.
SAME_DIGEST = "="


class ProbeRequest(Message, frozen=True, omit_defaults=True):
    """Probe sent by one host to another.

    A host that receives ``wanted`` keys is a witness: it is asked to grant leases.

    :param host_id: id of the sender.
    :param incarnation: random id of the sending process.
    :param config_digest: digest of the sender's active documents; empty until its first
        configuration is complete.
    :param leaving: True once the sender has begun a planned stop.
    :param wanted: ownership keys that the sender wants to hold or renew.
    :param released: ownership keys that the sender releases.
    :param service_age_ms: not sent and not read, because the request may have waited in
        a socket buffer. Without the field, a probe that contains it would be
        rejected, because unknown fields are an error.
    :param cells: not sent and not read, for the same reasons.
    :param sequence: number of the probe, increasing within one process. A witness
        ignores the leases of a probe that arrives after one with a higher number.
    """

    host_id: bounds.HostId
    incarnation: bounds.Incarnation
    config_digest: bounds.Digest
    leaving: bool = False
    wanted: bounds.ShortTexts = ()
    released: bounds.ShortTexts = ()
    service_age_ms: bounds.AgeMs | None = None
    cells: Summaries = ()
    sequence: bounds.SequenceNumber = 0


class ProbeReply(Message, frozen=True, omit_defaults=True):
    """Answer to a ``ProbeRequest``.

    :param host_id: id of the answering host.
    :param config_digest: digest of the answering host's active documents, or
        ``SAME_DIGEST``.
    :param leaving: True once the answering host has begun a planned stop.
    :param granted: ownership keys granted to the sender of the probe.
    :param refused: ownership keys that were not granted.
    :param service_age_ms: time in milliseconds since the latest confirmation that the
        configuration service answered, None if there is none.
    :param cells: summaries of the cells that the answering host knows, except the cell
        of the sender.
    """

    host_id: bounds.HostId
    config_digest: bounds.Digest
    leaving: bool = False
    granted: bounds.ShortTexts = ()
    refused: Refusals = ()
    service_age_ms: bounds.AgeMs | None = None
    cells: Summaries = ()
