"""Decides whether a host reads a source itself or takes its contents from relays."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from celeryferry_core.forwarding.relays import RELAY_COUNT

# A host whose relays report that the source can't be read tries it too if it is among
# the next candidates for relays: the source may refuse some hosts and serve others.
EXTRA_READER_COUNT = 2
# If these are refused too, the other hosts of the domain try in turn, one at a time:
# time from which on they do, and the time of each, enough for a call that times out.
TURNS_DELAY = timedelta(seconds=1)
TURN_TIME = timedelta(seconds=1)
# Time without any relay after which a host reads the source itself, and the additional
# time for each host that comes before it, up to a maximum.
ISOLATION_TIME = timedelta(milliseconds=1200)
STAGGER_TIME = timedelta(milliseconds=100)
MAX_STAGGER_COUNT = 5
# Time after its latest successful call for which a host still counts as a reader. One
# call that fails is repeated within this time.
READER_RETENTION = timedelta(seconds=2)
# Time after which a host that knows of later changes than its own reads the source.
MAX_BEHIND_TIME = timedelta(seconds=1)


class Availability(StrEnum):
    """Whether a source can be read, as far as a host knows from calls."""

    AVAILABLE = "available"
    LOST = "lost"
    UNKNOWN = "unknown"


class RelayReport(StrEnum):
    """What the relays of a host report about a source.

    With ``NO_RESULT``, none of them can read it as far as they know, and at least one
    waits for the result of its first call.
    """

    AVAILABLE = "available"
    UNAVAILABLE = "unavailable"
    NO_RESULT = "no_result"
    NO_RELAY = "no_relay"


def summarise(reports: Iterable[Availability]) -> Availability:
    """Return what several hosts know together; a loss needs the word of all."""
    found = set(reports)
    if Availability.AVAILABLE in found:
        return Availability.AVAILABLE
    if found == {Availability.LOST}:
        return Availability.LOST
    return Availability.UNKNOWN


class ReadingReason(StrEnum):
    """Why a host follows a source by its own calls, as in the log."""

    RELAY = "relay"
    BEHIND = "behind"
    RELAYS_UNAVAILABLE = "relays_unavailable"
    RELAYS_SILENT = "relays_silent"
    NO_RELAY = "no_relay"


@dataclass(frozen=True, slots=True)
class ReadingInputs:
    """What the decision depends on.

    :param is_relay: whether other hosts rely on this one.
    :param rank: position among the candidates for relays of the domain, 0 for the best.
    :param host_count: number of these candidates.
    :param report: latest report of its relays.
    :param report_age: time since this kind of report began.
    :param behind_for: time since this host has known of changes that it lacks, zero if
        it knows of none.
    :param reads_it: whether a recent call of this host has succeeded.
    """

    is_relay: bool
    rank: int
    report: RelayReport
    report_age: timedelta
    host_count: int = 0
    behind_for: timedelta = timedelta(0)
    reads_it: bool = False


def find_reading_reason(inputs: ReadingInputs) -> ReadingReason | None:
    """Return why a host should follow the source by its own calls, None if not.

    At its start, each host reads the contents once in any case, so that it can serve
    before it has found its relays.
    """
    if inputs.is_relay:
        return ReadingReason.RELAY
    is_candidate = inputs.rank < RELAY_COUNT + EXTRA_READER_COUNT
    # A host that reads must go on while no relay does, for the relays may rely on it.
    is_needed = is_candidate or inputs.reads_it
    match inputs.report:
        case RelayReport.UNAVAILABLE:
            reads = is_needed or _has_turn(inputs)
            return ReadingReason.RELAYS_UNAVAILABLE if reads else None
        case RelayReport.NO_RESULT:
            is_due = inputs.reads_it or inputs.report_age >= ISOLATION_TIME
            return ReadingReason.RELAYS_SILENT if is_needed and is_due else None
        case RelayReport.NO_RELAY:
            stagger = STAGGER_TIME * min(inputs.rank, MAX_STAGGER_COUNT)
            is_isolated = inputs.report_age >= ISOLATION_TIME + stagger
            if is_isolated or inputs.reads_it:
                return ReadingReason.NO_RELAY
        case RelayReport.AVAILABLE:
            pass
    is_behind = inputs.behind_for >= MAX_BEHIND_TIME
    return ReadingReason.BEHIND if is_behind else None


def _has_turn(inputs: ReadingInputs) -> bool:
    """Return whether it is the turn of this host to try the source."""
    first_rank = RELAY_COUNT + EXTRA_READER_COUNT
    waiting_time = inputs.report_age - TURNS_DELAY
    if inputs.rank < first_rank or waiting_time < timedelta(0):
        return False
    turn_count = max(1, inputs.host_count - first_rank)
    return waiting_time // TURN_TIME % turn_count == inputs.rank - first_rank
