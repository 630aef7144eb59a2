"""Decides whether a host reads a source itself or takes its contents from relays."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from celeryferry_core.forwarding.relays import RELAY_COUNT

# A host whose relays report that the source can't be read tries it too if it is among
# the next candidates for relays: the source may refuse some hosts and serve others.
EXTRA_READER_COUNT = 2
# Time without any relay after which a host reads the source itself, and the additional
# time for each host that comes before it, up to a maximum.
ISOLATION_TIME = timedelta(milliseconds=1200)
STAGGER_TIME = timedelta(milliseconds=100)
MAX_STAGGER_COUNT = 5
# Time after which a host that knows of later changes than its own reads the source.
MAX_BEHIND_TIME = timedelta(seconds=1)


class RelayReport(StrEnum):
    """What the relays of a host report about a source."""

    AVAILABLE = "available"
    UNAVAILABLE = "unavailable"
    NO_RELAY = "no_relay"


class ReadingReason(StrEnum):
    """Why a host follows a source by its own calls, as in the log."""

    RELAY = "relay"
    BEHIND = "behind"
    RELAYS_UNAVAILABLE = "relays_unavailable"
    NO_RELAY = "no_relay"


@dataclass(frozen=True, slots=True)
class ReadingInputs:
    """What the decision depends on.

    :param is_relay: whether other hosts rely on this one.
    :param rank: position among the candidates for relays of the domain, 0 for the best.
    :param report: latest report of its relays.
    :param report_age: time since this kind of report began.
    :param behind_for: time since this host has known of changes that it lacks, zero if
        it knows of none.
    """

    is_relay: bool
    rank: int
    report: RelayReport
    report_age: timedelta
    behind_for: timedelta = timedelta(0)


def find_reading_reason(inputs: ReadingInputs) -> ReadingReason | None:
    """Return why a host should follow the source by its own calls, None if not.

    At its start, each host reads the contents once in any case, so that it can serve
    before it has found its relays.
    """
    if inputs.behind_for >= MAX_BEHIND_TIME:
        return ReadingReason.BEHIND
    if inputs.is_relay:
        return ReadingReason.RELAY
    match inputs.report:
        case RelayReport.AVAILABLE:
            return None
        case RelayReport.UNAVAILABLE:
            is_candidate = inputs.rank < RELAY_COUNT + EXTRA_READER_COUNT
            return ReadingReason.RELAYS_UNAVAILABLE if is_candidate else None
        case RelayReport.NO_RELAY:
            stagger = STAGGER_TIME * min(inputs.rank, MAX_STAGGER_COUNT)
            is_isolated = inputs.report_age >= ISOLATION_TIME + stagger
            return ReadingReason.NO_RELAY if is_isolated else None
