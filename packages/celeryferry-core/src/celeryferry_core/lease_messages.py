"""Times of leases, and what holders and witnesses say to one another."""

from dataclasses import dataclass
from datetime import timedelta

from celeryferry_core.models.messages import LeaseRefusal

LEASE_DURATION = timedelta(seconds=2)
PROBE_INTERVAL = timedelta(milliseconds=500)
# Least time between two rounds of probes; bounds the extra ones that changes set off.
# Each round raises the sequence of a process by one.
MIN_PROBE_ROUND_INTERVAL = timedelta(milliseconds=50)
# Numbers that a sequence may run ahead of the time at a witness, because probes are
# delayed for different times: the regular probes of one lease.
MAX_SEQUENCE_LEAD = LEASE_DURATION // PROBE_INTERVAL

# A holder whose list of witnesses changed needs a majority of the old list as well
# for this long, because the other hosts may still count with the old list.
JOINT_MAJORITY_PERIOD = timedelta(seconds=5)

DISTANT_PAST = timedelta.min


@dataclass(frozen=True, slots=True)
class LeaseSender:
    """The process that asks for grants.

    :param host_id: host of the process.
    :param incarnation: random id of the process.
    """

    host_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Keys that one probe asks for and gives up.

    :param sequence: number of the probe, rising within one process.
    :param wanted: keys to grant or renew.
    :param released: keys that the sender gives up.
    """

    sequence: int
    wanted: tuple[str, ...] = ()
    released: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answer of a witness.

    :param granted: keys granted from receipt of the probe.
    :param refused: keys not granted.
    """

    granted: tuple[str, ...] = ()
    refused: tuple[LeaseRefusal, ...] = ()
