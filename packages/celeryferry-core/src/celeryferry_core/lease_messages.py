"""Timing of leases, and the messages between lease holders and witnesses."""

from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.models.messages import LeaseRefusal

LEASE_DURATION = timedelta(seconds=2)
PROBE_INTERVAL = timedelta(milliseconds=500)
# Shortest time between two rounds of probes. Changes such as released keys, a newly
# listed host or a planned stop start an additional round; this interval limits how
# often. Each round increments the sequence number of a process by one.
MIN_PROBE_ROUND_INTERVAL = timedelta(milliseconds=50)
# A witness accepts at most this many rounds more than fit into the time since the
# latest probe. Probes are delayed by different amounts, so some tolerance is needed:
# the number of regular probes during one lease.
MAX_SEQUENCE_LEAD = LEASE_DURATION // PROBE_INTERVAL

# After its list of witnesses has changed, a holder needs a majority of the old list as
# well for this long, because other hosts may still count with the old list.
JOINT_MAJORITY_PERIOD = timedelta(seconds=5)

# Default for a missing time: earlier than every monotonic time.
DISTANT_PAST = timedelta.min


@dataclass(frozen=True, slots=True)
class LeaseSender:
    """The process that requests grants.

    :param host_id: host of the process.
    :param incarnation: random id of the process.
    """

    host_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """The lease part of a probe.

    :param sequence: number of the probe; increases within one process.
    :param wanted: keys to grant or renew.
    :param released: keys whose grants the sender releases.
    """

    sequence: int
    wanted: tuple[str, ...] = ()
    released: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answer of a witness to a lease request.

    :param granted: keys granted for ``LEASE_DURATION`` from receipt of the probe.
    :param refused: keys not granted.
    """

    granted: tuple[str, ...] = ()
    refused: tuple[LeaseRefusal, ...] = ()
