"""Re-planning of a query after an upstream has dropped its index version."""

from datetime import timedelta

from celeryferry_core.decisions.front import QueryReplanned
from celeryferry_core.search_events import CancelBatch, Record, RefreshObservations
from celeryferry_core.search_recovery import Recovery
from celeryferry_core.search_state import SessionState
from celeryferry_core.upstream_catalog import VersionChoice


class Replanner:
    """Moves a query to a newer index version, at most once.

    If no known newer version covers every shard, the observations are refreshed first,
    because the replicas of the other shards may hold a newer version as well.

    :ivar awaits_refresh: whether the observations are being refreshed.
    """

    __slots__ = ("_recovery", "_refreshed", "_replanned", "_state", "awaits_refresh")

    def __init__(self, state: SessionState, recovery: Recovery) -> None:
        self._state = state
        self._recovery = recovery
        self._replanned = False
        self._refreshed = False
        self.awaits_refresh = False

    def replan_or_retry(self, now: timedelta) -> None:
        """Move the query to a newer version, or retry the shards on the old one.

        Does nothing unless a pending shard lost its version, or while a refresh runs.

        :param now: present monotonic time.
        """
        state = self._state
        gone = [shard for shard in state.pending.values() if shard.is_version_gone]
        if not gone or self.awaits_refresh:
            return
        if state.mechanisms.replanning and not self._replanned:
            choice = state.router.choose_version(state.plan, now, state.version)
            if choice is not None and self._is_improvement(choice):
                self._replan(choice, now)
                return
            if not self._refreshed:
                self._refreshed = True
                self.awaits_refresh = True
                state.actions.append(RefreshObservations())
                return
        for progress in gone:
            progress.is_version_gone = False
            self._recovery.retry(progress, progress.attempts[-1], True, now)

    def _is_improvement(self, choice: VersionChoice) -> bool:
        if choice.covers_all_shards:
            return True
        state = self._state
        version = state.version
        catalog = state.router.catalog
        old_available_count = sum(
            progress.hits is not None
            or any(
                catalog.holds(address, version)
                for address in progress.planned.addresses
            )
            for progress in state.shards.values()
        )
        return self._refreshed and choice.available_count > old_available_count

    def _replan(self, choice: VersionChoice, now: timedelta) -> None:
        state = self._state
        self._replanned = True
        answered = [shard for shard in state.shards.values() if shard.hits is not None]
        if answered or any(shard.open_attempts() for shard in state.shards.values()):
            state.may_have_run = True
        decision = QueryReplanned(
            state.request.query_id, state.version, choice.version, len(answered)
        )
        state.actions.append(Record(decision))
        for batch_id in state.batches:
            state.actions.append(CancelBatch(batch_id))
        state.batches.clear()
        self._recovery.route_all(choice, now)
