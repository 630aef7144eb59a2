"""Shares the contents of one source between this host and its peers."""

from datetime import timedelta

from celeryferry_core.forwarding.hosts import LinkRole
from celeryferry_core.forwarding.positions import START, Position
from celeryferry_core.forwarding.reading import (
    MAX_BEHIND_TIME,
    READER_RETENTION,
    Availability,
    ReadingInputs,
    RelayReport,
    find_reading_reason,
    summarise,
)
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.link_messages import (
    ContentsRequest,
    ContentsUpdate,
    SourceStatus,
)
from celeryferry_daemon._internal.forwarding.ports import SourceChanges

# A request for contents that was not answered within this time is sent again.
REQUEST_TIMEOUT = timedelta(seconds=1)
# Reports between which a domain has no reader all the while.
_WITHOUT_READER = {RelayReport.UNAVAILABLE, RelayReport.NO_RESULT}


class SharedSource:
    """Knows how far the peers have followed a source, and who reads it.

    Arguments named ``now`` are monotonic times.

    :param follower: follower of the source at this host.
    :param now: time of the start.
    """

    __slots__ = (
        "_behind_since",
        "_heard_position",
        "_last_read_at",
        "_report",
        "_report_since",
        "_requested_at",
        "_statuses",
        "follower",
    )

    def __init__(self, follower: SourceFollower, now: timedelta) -> None:
        self.follower = follower
        self._statuses: dict[int, tuple[LinkRole, SourceStatus]] = {}
        self._heard_position: Position = START
        self._behind_since: timedelta | None = None
        self._requested_at: timedelta | None = None
        self._last_read_at: timedelta | None = None
        self._report = RelayReport.NO_RELAY
        self._report_since = now

    def make_status(self) -> SourceStatus:
        """Return how far this host is, for its peers."""
        reads_it = self.follower.reads_it is True
        is_read_in_domain = reads_it or any(
            status.reads_it
            for role, status in self._statuses.values()
            if role is not LinkRole.BETWEEN_DOMAINS
        )
        is_available = is_read_in_domain or self._do_other_domains_read_it()
        position = self.follower.position
        heard = max(position, self._heard_position)
        return SourceStatus(
            position.revision,
            heard.revision,
            reads_it,
            is_available,
            position.era,
            heard.era,
            is_availability_known=is_available or self.follower.reads_it is False,
            is_read_in_domain=is_read_in_domain,
        )

    def record_status(
        self, link_id: int, role: LinkRole, status: SourceStatus, now: timedelta
    ) -> ContentsRequest | None:
        """Record how far a peer is.

        :returns: request to send to this peer, None if its contents are not needed.
        """
        self._statuses[link_id] = (role, status)
        self._heard_position = max(
            self._heard_position, status.heard_position, status.position
        )
        own_position = self.follower.position
        if status.reads_it and status.position == own_position:
            self.follower.heard_at = now
        if status.position <= own_position:
            return None
        is_own_relay = role is LinkRole.TO_RELAY
        is_late = self._get_behind_time(now) >= MAX_BEHIND_TIME
        if not (is_own_relay or is_late or not self.follower.reads_it):
            return None
        requested_at = self._requested_at
        if requested_at is not None and now - requested_at < REQUEST_TIMEOUT:
            return None
        self._requested_at = now
        return self._make_request()

    def drop_link(self, link_id: int) -> None:
        """Forget the status of a peer whose link has ended."""
        self._statuses.pop(link_id, None)

    def apply(self, update: ContentsUpdate) -> ContentsRequest | None:
        """Apply contents or changes that a peer has sent.

        :returns: request for the whole contents if changes are missing in between.
        """
        changes = SourceChanges(update.items, update.revision, update.era)
        self._heard_position = max(self._heard_position, update.position)
        after, own = update.after_position, self.follower.position
        if after.era < own.era == update.era and not after.is_start:
            # Each relay of the domain sends what a restore has changed. What this one
            # knows beyond the first one is in its ticks.
            return None
        if update.is_exact and own < update.position:
            is_same = after == own and (
                update.base_digest == self.follower.compute_digest()
            )
            if not is_same:
                return self._make_request()
        if self.follower.apply_peer_changes(after, changes, update.is_confirmed):
            self._requested_at = None
            return None
        return self._make_request()

    def make_update(
        self, after: Position, changes: SourceChanges, is_exact: bool = False
    ) -> ContentsUpdate:
        """Return changes as a message for peers.

        :param is_exact: whether they are complete only for hosts with that position.
        """
        return ContentsUpdate(
            self.follower.source.name,
            after.revision,
            changes.revision,
            changes.items,
            self.follower.is_confirmed,
            is_exact,
            changes.era,
            after.era,
            self.follower.base_digest if is_exact else 0,
        )

    def answer(self, request: ContentsRequest) -> ContentsUpdate:
        """Return what a peer has asked for."""
        after, changes = self.follower.list_changes(
            Position(request.era, request.after)
        )
        return self.make_update(after, changes)

    def _make_request(self) -> ContentsRequest:
        own = self.follower.position
        return ContentsRequest(self.follower.source.name, own.revision, own.era)

    def update(
        self, is_relay: bool, rank: int, now: timedelta, host_count: int = 0
    ) -> None:
        """Decide whether this host reads the source.

        :param is_relay: whether other hosts rely on this one.
        :param rank: position among the candidates for relays of the domain.
        :param host_count: number of these candidates.
        """
        if self.follower.reads_it:
            self._last_read_at = now
        is_reader = self._is_recent_reader(now)
        report = self._make_report(is_reader)
        if report is not self._report:
            if {report, self._report} != _WITHOUT_READER:
                self._report_since = now
            self._report = report
        inputs = ReadingInputs(
            is_relay=is_relay,
            rank=rank,
            report=report,
            report_age=now - self._report_since,
            host_count=host_count,
            behind_for=self._get_behind_time(now),
            reads_it=is_reader,
        )
        # A host that stops reading relies on its peers from then on.
        self.follower.set_peer_availability(self._find_peer_availability())
        self.follower.set_reading(find_reading_reason(inputs))

    def _get_behind_time(self, now: timedelta) -> timedelta:
        if self._heard_position <= self.follower.position:
            self._behind_since = None
            return timedelta(0)
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since

    def _is_recent_reader(self, now: timedelta) -> bool:
        read_at = self._last_read_at
        is_recent = read_at is not None and now - read_at < READER_RETENTION
        return self.follower.is_reading and is_recent

    def _make_report(self, is_reader: bool) -> RelayReport:
        reported = [
            _weigh_relay(status, is_reader)
            for role, status in self._statuses.values()
            if role is LinkRole.TO_RELAY
        ]
        if not reported:
            return RelayReport.NO_RELAY
        match summarise(reported):
            case Availability.AVAILABLE:
                return RelayReport.AVAILABLE
            case Availability.LOST:
                return RelayReport.UNAVAILABLE
            case Availability.UNKNOWN:
                return RelayReport.NO_RESULT

    def _find_peer_availability(self) -> Availability:
        """Return whether any peer can read the source.

        A member only vouches for its own calls, and a relay of another domain for those
        of its domain. One without a result says nothing.
        """
        if self._do_other_domains_read_it():
            return Availability.AVAILABLE
        statuses = self._statuses.values()
        relays = [each for role, each in statuses if role is LinkRole.TO_RELAY]
        others = [each for role, each in statuses if role is not LinkRole.TO_RELAY]
        if any(status.reads_it for status in others):
            return Availability.AVAILABLE
        if relays:
            return summarise(status.availability for status in relays)
        has_failed = any(status.availability is Availability.LOST for status in others)
        return Availability.LOST if has_failed else Availability.UNKNOWN

    def _do_other_domains_read_it(self) -> bool:
        """Return whether a host of another domain reads the source.

        What relays know from other domains does not count, so that none takes its own
        word for that of another domain.
        """
        return any(
            status.reads_it or status.is_read_in_domain
            for role, status in self._statuses.values()
            if role is LinkRole.BETWEEN_DOMAINS
        )


def _weigh_relay(status: SourceStatus, is_reader: bool) -> Availability:
    """Return what a relay says of the source apart from this host's own calls.

    :param is_reader: whether this host reads the source. The relay may then rely on it,
        so it must not rely on the relay.
    """
    if is_reader and not status.reads_it:
        known = status.is_availability_known
        return Availability.LOST if known else Availability.UNKNOWN
    return status.availability
