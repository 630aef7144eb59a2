"""State of one stand-in upstream: slots, cold start, drain and counters."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from celeryferry_standins.upstream.behaviour import (
    MS_PER_S,
    Behaviour,
    Counters,
    Misbehaviour,
    Refusal,
)
from celeryferry_standins.upstream.slots import Slots

MAX_SEARCH_IDS = 20_000
MAX_HISTORY_ENTRIES = 4096


@dataclass(slots=True, eq=False)
class Work:
    """One request that is being processed.

    :param done: resolves to True at the end of the service time, to False if the
        upstream fails before that.
    :param after_cold_signal: True if it started after the cold signal.
    """

    done: asyncio.Future
    after_cold_signal: bool


def _complete(work: Work) -> None:
    if not work.done.done():
        work.done.set_result(True)


class Engine:
    """One stand-in upstream without its sockets.

    :param behaviour: what it does.
    :param seed: seed of the random service times.
    :param record_run: called with the id of each non-repeatable request that starts.
    :param record_search: called with the id of each search that starts.
    """

    def __init__(
        self,
        behaviour: Behaviour,
        seed: int = 0,
        record_run: Callable[[str], None] = lambda request_id: None,
        record_search: Callable[[str], None] = lambda request_id: None,
    ):
        self._record_run = record_run
        self._record_search = record_search
        self.behaviour = behaviour
        self.counters = Counters()
        self._random = random.Random(seed)
        self._active: set[Work] = set()
        self.slots = Slots(behaviour)
        self._failed_until = 0.0
        self._cold_since = 0.0
        self._cold_signal_at: float | None = None
        self._cold_successes = 0
        self._history: deque[tuple[float, str, int, int]] = deque(
            maxlen=MAX_HISTORY_ENTRIES
        )
        if behaviour.cold:
            self._begin_cold_start(announced=True)
        if behaviour.draining:
            self.counters.drained_at_unix_ms = time.time() * MS_PER_S
        self._record_history()

    def apply(self, patch: dict) -> None:
        """Change the behaviour.

        :param patch: fields of ``Behaviour`` and, optionally, ``add_version`` and
            ``remove_version``.
        :raises msgspec.ValidationError: a field is unknown or has a wrong type.
        """
        fields = msgspec.structs.asdict(self.behaviour)
        versions = list(fields["index_versions"])
        changes = dict(patch)
        if (added := changes.pop("add_version", None)) is not None:
            versions = sorted({*versions, added})
        if (removed := changes.pop("remove_version", None)) is not None:
            versions = [version for version in versions if version != removed]
        fields["index_versions"] = versions
        was_draining = self.behaviour.draining
        self.behaviour = msgspec.convert({**fields, **changes}, Behaviour)
        if changes.get("cold"):
            self._begin_cold_start(announced=False)
        if self.behaviour.draining and not was_draining:
            self.counters.drained_at_unix_ms = time.time() * MS_PER_S
        self.slots.update(self.behaviour)
        self._record_history()

    def _begin_cold_start(self, announced: bool) -> None:
        # A starting process signals its cold start by accepting new connections; a
        # running one signals it by its first cold answer.
        now = time.monotonic()
        self.behaviour.cold = True
        self._cold_since = now
        self._cold_successes = 0
        signal_delay_s = 0.0 if announced else float("inf")
        self._cold_signal_at = now + signal_delay_s
        self.counters.cold_since_unix_ms = time.time() * MS_PER_S
        for work in self._active:
            work.after_cold_signal = False

    def _warm_up(self) -> None:
        limit_ms = self.behaviour.warm_after_ms
        elapsed_ms = (time.monotonic() - self._cold_since) * MS_PER_S
        by_time = limit_ms is not None and elapsed_ms >= limit_ms
        by_count = self._cold_successes >= self.behaviour.warm_after_requests
        if by_time or by_count:
            self.behaviour.cold = False
            self._record_history()

    def _fail_from_overload(self) -> None:
        self.counters.falls += 1
        self._failed_until = time.monotonic() + self.behaviour.fall_ms / MS_PER_S
        for work in self._active:
            if not work.done.done():
                work.done.set_result(False)
        self._begin_cold_start(announced=True)

    @property
    def state(self) -> str:
        """State as the answers report it."""
        if self.behaviour.draining:
            return "draining"
        if self.behaviour.cold:
            self._warm_up()
        if self.behaviour.cold and not self.behaviour.cold_hidden:
            return "cold"
        return "ready"

    @property
    def load(self) -> float:
        """Load as the answers report it."""
        if self.behaviour.load_says is not None:
            return self.behaviour.load_says
        return len(self._active) / max(1, self.behaviour.slots)

    def mark_cold_signal(self) -> None:
        """Record that an answer has reported the cold start to a caller."""
        if self.behaviour.cold and self._cold_signal_at == float("inf"):
            grace_s = self.behaviour.signal_grace_ms / MS_PER_S
            self._cold_signal_at = time.monotonic() + grace_s

    def record_refusal(self, reason: Refusal) -> Refusal:
        """Count a refusal.

        :param reason: why the request is not run.
        :returns: the reason.
        """
        counts = self.counters.refused
        counts[reason] = counts.get(reason, 0) + 1
        if reason == Refusal.DEADLINE:
            self.counters.deadline_refusals += 1
        return reason

    def check_admission(
        self, index_version: int | None, deadline_unix_ms: float
    ) -> Refusal | None:
        """Decide whether a request may run.

        :param index_version: version to read, None if the request needs none.
        :param deadline_unix_ms: deadline in milliseconds of wall-clock time.
        :returns: reason for a refusal, or None.
        """
        now = time.monotonic()
        if now < self._failed_until:
            return self.record_refusal(Refusal.COLD)
        behaviour = self.behaviour
        if behaviour.draining and behaviour.drain_refuses:
            return self.record_refusal(Refusal.DRAINING)
        if index_version is not None and index_version not in behaviour.index_versions:
            return self.record_refusal(Refusal.VERSION_GONE)
        if time.time() * MS_PER_S >= deadline_unix_ms:
            return self.record_refusal(Refusal.DEADLINE)
        if behaviour.cold and behaviour.cold_refuses:
            self._warm_up()
            if behaviour.cold and len(self._active) >= behaviour.cold_bears:
                return self.record_refusal(Refusal.COLD)
        return None

    def start(self, request_id: str, shard: str | None) -> Work:
        """Start processing a request.

        :param request_id: id of the request.
        :param shard: shard that is searched, None for a non-repeatable request.
        :returns: the work, whose ``done`` resolves at the end of the service time.
        """
        if self.behaviour.cold:
            self._warm_up()
        work = Work(
            asyncio.get_running_loop().create_future(), self._is_after_cold_signal()
        )
        self._active.add(work)
        self._count_start(request_id, shard)
        self._record_history()
        after_signal_count = sum(active.after_cold_signal for active in self._active)
        if self.behaviour.cold:
            counters = self.counters
            counters.max_after_cold = max(counters.max_after_cold, after_signal_count)
            if after_signal_count > self.behaviour.cold_bears:
                self._fail_from_overload()
        delay_s = self._draw_service_time_s()
        work.done.get_loop().call_later(delay_s, _complete, work)
        return work

    def _is_after_cold_signal(self) -> bool:
        if not self.behaviour.cold or self._cold_signal_at is None:
            return False
        return time.monotonic() >= self._cold_signal_at

    def _draw_service_time_s(self) -> float:
        behaviour = self.behaviour
        jitter_ms = self._random.uniform(-behaviour.jitter_ms, behaviour.jitter_ms)
        service_ms = max(0.0, behaviour.service_ms + jitter_ms)
        if self._random.random() < behaviour.straggle_share:
            service_ms *= behaviour.straggle_factor
        if behaviour.cold:
            service_ms *= behaviour.cold_factor
        return service_ms / MS_PER_S

    def _count_start(self, request_id: str, shard: str | None) -> None:
        counters = self.counters
        now_unix_ms = time.time() * MS_PER_S
        counters.executed += 1
        counters.first_start_unix_ms = counters.first_start_unix_ms or now_unix_ms
        counters.last_start_unix_ms = now_unix_ms
        counters.active = len(self._active)
        counters.max_active = max(counters.max_active, len(self._active))
        counters.started_after_drain += self.behaviour.draining
        ids = counters.runs if shard is None else counters.searches
        ids[request_id] = ids.get(request_id, 0) + 1
        if shard is None:
            self._record_run(request_id)
        else:
            self._record_search(request_id)
            counters.shards[shard] = counters.shards.get(shard, 0) + 1
            if len(ids) > MAX_SEARCH_IDS:
                del ids[next(iter(ids))]

    def finish(self, work: Work, succeeded: bool) -> None:
        """Record the end of the work on a request.

        :param work: what ``start`` returned.
        :param succeeded: True if the request was answered.
        """
        self._active.discard(work)
        self.counters.active = len(self._active)
        if succeeded and self.behaviour.cold:
            self._cold_successes += 1
            self._warm_up()
        self._record_history()

    def consume_misbehaviour(self) -> Misbehaviour | None:
        """Return the fault of the next answer and count it as used.

        :returns: the fault, or None for a correct answer.
        """
        behaviour = self.behaviour
        if behaviour.misbehaviour is None or behaviour.misbehaviour_count == 0:
            return None
        if behaviour.misbehaviour_count > 0:
            behaviour.misbehaviour_count -= 1
        return behaviour.misbehaviour

    def _record_history(self) -> None:
        entry = (
            time.monotonic(),
            self.state,
            len(self._active),
            self.slots.waiting_count,
        )
        self._history.append(entry)

    def report_status(self) -> tuple[str, int, int]:
        """Return the status that ``/health`` and ``/load`` report, which may lag.

        :returns: state, active and queued requests.
        """
        cutoff = time.monotonic() - self.behaviour.health_lag_ms / MS_PER_S
        status = (self.state, len(self._active), self.slots.waiting_count)
        if self.behaviour.health_lag_ms > 0:
            old_entries = [entry for entry in self._history if entry[0] <= cutoff]
            status = (old_entries or list(self._history))[-1 if old_entries else 0][1:]
        state = self.behaviour.health_says or status[0]
        active = status[1]
        if self.behaviour.load_says is not None:
            active = round(self.behaviour.load_says * self.behaviour.slots)
        return state, active, status[2]
