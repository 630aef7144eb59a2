"""Upstreams that have started anew without the word of the source of entries.

Load pattern: an upstream crashes and returns cold while the source is unavailable, so
that its entry still describes the former process. Hosts notice the crash by refused
connections, and treat the upstream as cold when it accepts connections again.
"""

from datetime import timedelta

from celeryferry_core.forwarding.models import Upstream

# An upstream that the source does not announce this long after its return is reported
# to the other hosts. Normally its new entry arrives much sooner.
REPORT_DELAY = timedelta(milliseconds=300)
# Upstreams reported at once. Each takes about 40 bytes in a message to every host.
MAX_REPORTED = 32
ONE_MS = timedelta(milliseconds=1)


class _Absence:
    __slots__ = ("cold_until", "reported_left_ms", "returned_at")

    def __init__(self) -> None:
        self.returned_at: timedelta | None = None
        self.cold_until = timedelta(0)
        self.reported_left_ms: int | None = None


class RestartObservations:
    """Absences and returns of upstreams, by instance id.

    A process that has ended can't accept connections, so a refused connection shows
    that the process which accepts the next one is a new one. Arguments named ``now``
    are monotonic times.
    """

    __slots__ = ("_absences", "_others")

    def __init__(self) -> None:
        self._absences: dict[str, _Absence] = {}
        self._others: dict[str, timedelta] = {}

    def record_refused(self, instance_id: str) -> bool:
        """Record that an upstream refuses connections while none to it is open.

        :returns: whether it was not known to be absent.
        """
        if self.is_absent(instance_id):
            return False
        self._absences[instance_id] = _Absence()
        return True

    def record_reached(
        self, instance_id: str, cold_time: timedelta, now: timedelta
    ) -> bool:
        """Record that an upstream has accepted a connection.

        :param cold_time: time for which upstreams of its service are cold.
        :returns: whether it was absent before.
        """
        absence = self._absences.get(instance_id)
        if absence is None or absence.returned_at is not None:
            return False
        absence.returned_at = now
        absence.cold_until = now + cold_time
        return True

    def record_cold(
        self, instance_id: str, time_left: timedelta, now: timedelta
    ) -> None:
        """Record that an upstream has said to this host that it is cold."""
        absence = self._absences[instance_id] = _Absence()
        absence.returned_at = now
        absence.cold_until = now + time_left

    def record_reported(
        self, instance_id: str, time_left: timedelta, now: timedelta
    ) -> None:
        """Record that another host has seen an upstream return.

        :param time_left: time for which it stays cold.
        """
        until = max(now + time_left, self._others.get(instance_id, now))
        self._others[instance_id] = until

    def forget(self, instance_id: str) -> None:
        """Drop what is known of an upstream that is gone or has a new entry."""
        self._absences.pop(instance_id, None)
        self._others.pop(instance_id, None)

    def is_absent(self, instance_id: str) -> bool:
        """Return whether an upstream refuses connections."""
        absence = self._absences.get(instance_id)
        return absence is not None and absence.returned_at is None

    def is_cold(self, instance_id: str, now: timedelta) -> bool:
        """Return whether an upstream has returned and is cold."""
        reported_until = self._others.get(instance_id)
        if reported_until is not None and now < reported_until:
            return True
        absence = self._absences.get(instance_id)
        return absence is not None and now < absence.cold_until

    def list_absent(self) -> list[str]:
        """Return the instance ids of the upstreams that refuse connections."""
        return [each for each in self._absences if self.is_absent(each)]

    def update(self, now: timedelta) -> tuple[tuple[str, int], ...]:
        """Drop what has expired and return what to report to the other hosts.

        :returns: instance ids, each with the milliseconds for which the upstream was
            still cold when it was first reported. They stay the same until they end, so
            that a report is sent once.
        """
        self._others = {
            each: until for each, until in self._others.items() if now < until
        }
        reported = []
        for instance_id, absence in list(self._absences.items()):
            if absence.returned_at is None:
                continue
            if now >= absence.cold_until:
                del self._absences[instance_id]
            elif now - absence.returned_at >= REPORT_DELAY:
                if absence.reported_left_ms is None:
                    absence.reported_left_ms = (absence.cold_until - now) // ONE_MS
                reported.append((instance_id, absence.reported_left_ms))
        return tuple(sorted(reported)[:MAX_REPORTED])


def is_new_process(entry: Upstream, known: Upstream | None) -> bool:
    """Return whether an entry describes another process than the entry before.

    :param known: entry before, None if there was none.
    """
    return known is None or entry.started_ms != known.started_ms
