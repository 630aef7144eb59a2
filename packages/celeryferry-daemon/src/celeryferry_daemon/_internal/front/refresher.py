"""Refreshes the front's observations of upstreams."""

import asyncio
from datetime import timedelta
from enum import Enum

from celeryferry_core.environment import Clock
from celeryferry_core.plans import ApplicationPlan
from celeryferry_core.ports import PeerClient
from celeryferry_core.routing import Router
from celeryferry_daemon._internal.front.applications import (
    Applications,
    ApplicationState,
)
from celeryferry_daemon._internal.front.fetcher import (
    REFRESH_TIMEOUT,
    ObservationFetcher,
)

# Observations of the replicas of queried applications are fetched again before they are
# older than this.
MAX_OBSERVATION_AGE = timedelta(milliseconds=500)
# A replica that was not observed between two checks is requested, so that an
# observation is never older than two check intervals.
CHECK_INTERVAL = MAX_OBSERVATION_AGE / 2
# Early refreshes follow a start or a change of a document. They run until the versions
# of every upstream are known, or until their number reaches MAX_EARLY_REFRESHES. Other
# replicas are then known when the first upstream fails. 25 refreshes take 5 s; owners
# have their first leases and health answers within about 3 s of a start.
EARLY_INTERVAL = timedelta(milliseconds=200)
MAX_EARLY_REFRESHES = 25
# Applications that have not been queried for this time are not refreshed periodically.
RECENT_QUERY_AGE = timedelta(seconds=10)
# Observations older than this are refreshed before the version of a query is chosen.
STALE_OBSERVATION_AGE = timedelta(seconds=2)
# Longest wait of a query for a refresh if a version is already known for every shard.
FULLY_KNOWN_REFRESH_TIMEOUT = timedelta(milliseconds=100)
POLL_INTERVAL = timedelta(milliseconds=5)
# After this many queries have each waited for another refresh while some shard had no
# known version, further queries do not wait. Periodic refreshes continue.
MAX_INCOMPLETE_WAITS = 3


class _Purpose(Enum):
    """Why observations are fetched; each application has at most one fetch for each."""

    ALL = "all"
    # Replicas that were not observed since the previous periodic check.
    DUE = "due"
    # Replicas whose versions are not known yet.
    EARLY = "early"


class Refresher:
    """Fetches observations for the applications that are queried.

    Owners attach observations to every answer. Periodic refreshes fetch only those that
    answers did not contain. All observations are fetched before a query if some are
    missing or too old. After a start or a change of a plan, replicas whose versions are
    not known are requested more often.

    :param applications: plans and states.
    :param router: records the observations.
    :param peers: client for other daemons.
    :param clock: source of time.
    """

    __slots__ = (
        "_applications",
        "_clock",
        "_fetcher",
        "_loop_tasks",
        "_router",
        "_tasks",
    )

    def __init__(
        self,
        applications: Applications,
        router: Router,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._applications = applications
        self._router = router
        self._fetcher = ObservationFetcher(applications, router, peers, clock)
        self._clock = clock
        self._tasks: dict[tuple[str, _Purpose], asyncio.Task[None]] = {}
        self._loop_tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the periodic and the early refreshes."""
        self._loop_tasks = [
            asyncio.create_task(self._run(), name="front-refresher"),
            asyncio.create_task(self._run_early(), name="front-early-refresher"),
        ]

    async def stop(self) -> None:
        """Cancel all refreshes and wait until they have ended."""
        tasks = [*self._tasks.values(), *self._loop_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            observed = self._router.catalog.pop_observed()
            for state in self._applications.list_states():
                requested, state.requested_upstreams = (
                    state.requested_upstreams,
                    frozenset(),
                )
                if now - state.queried_at < RECENT_QUERY_AGE:
                    self._refresh_due(state, observed | requested)

    def _refresh_due(self, state: ApplicationState, recent: set[str]) -> None:
        """Fetch the replicas that were not observed since the previous check.

        :param state: state of the application.
        :param recent: upstreams that were observed or requested since that check.
        """
        plan = self._applications.get_plan(state.name)
        # If a fetch is still running, the next check finds the replicas that are due.
        if plan is None or (state.name, _Purpose.DUE) in self._tasks:
            return
        due = plan.addresses - recent
        if due:
            state.requested_upstreams = due
            self._start_fetch(state, _Purpose.DUE, due)
        else:
            state.refreshed_at = self._clock.monotonic()

    async def _run_early(self) -> None:
        while True:
            for name in self._applications.list_names():
                plan = self._applications.get_plan(name)
                if plan is not None:
                    self._refresh_early(self._applications.get_state(name), plan)
            await asyncio.sleep(EARLY_INTERVAL.total_seconds())

    def _refresh_early(self, state: ApplicationState, plan: ApplicationPlan) -> None:
        if state.early_plan is not plan:
            state.early_plan = plan
            state.early_count = 0
        if state.early_count >= MAX_EARLY_REFRESHES:
            return
        get_versions = self._router.catalog.get_versions
        unknown = frozenset(a for a in plan.addresses if not get_versions(a))
        if not unknown:
            return
        state.early_count += 1
        self._start_fetch(state, _Purpose.EARLY, unknown)

    async def ensure_fresh(
        self, state: ApplicationState, plan: ApplicationPlan, max_wait: timedelta
    ) -> None:
        """Refresh an application before a query if observations are missing or old.

        :param state: state of the application.
        :param plan: plan of the application.
        :param max_wait: longest time to wait; shorter limits may apply.
        """
        now = self._clock.monotonic()
        is_fully_known = self._is_fully_known(plan)
        is_stale = (
            state.refreshed_at is None
            or now - state.refreshed_at > STALE_OBSERVATION_AGE
        )
        if is_fully_known:
            state.incomplete_count = 0
            if is_stale:
                await self.refresh(state, min(max_wait, FULLY_KNOWN_REFRESH_TIMEOUT))
            return
        if not is_stale:
            if state.incomplete_count >= MAX_INCOMPLETE_WAITS:
                return
            state.incomplete_count += 1
        task = self._start_fetch(state)
        deadline = now + min(max_wait, 2 * REFRESH_TIMEOUT)
        while not task.done() and not self._is_fully_known(plan):
            if self._clock.monotonic() >= deadline:
                return
            await asyncio.wait([task], timeout=POLL_INTERVAL.total_seconds())

    def _is_fully_known(self, plan: ApplicationPlan) -> bool:
        choice = self._router.choose_initial_version(plan, self._clock.monotonic())
        return choice is not None and choice.covers_all_shards

    async def refresh(self, state: ApplicationState, max_wait: timedelta) -> None:
        """Refresh an application; concurrent calls share one fetch.

        :param state: state of the application.
        :param max_wait: longest time to wait, at most ``REFRESH_TIMEOUT``.
        """
        timeout_s = min(max_wait, REFRESH_TIMEOUT).total_seconds()
        await asyncio.wait([self._start_fetch(state)], timeout=timeout_s)

    def _start_fetch(
        self,
        state: ApplicationState,
        purpose: _Purpose = _Purpose.ALL,
        wanted: frozenset[str] | None = None,
    ) -> asyncio.Task[None]:
        """Start a fetch, or return the one that already runs for the same purpose.

        :param state: state of the application.
        :param purpose: why observations are fetched.
        :param wanted: addresses of the upstreams to observe, None for all.
        """
        task_key = (state.name, purpose)
        task = self._tasks.get(task_key)
        if task is None:
            task = asyncio.create_task(self._fetch(state, purpose, wanted))
            self._tasks[task_key] = task
            task.add_done_callback(lambda _: self._tasks.pop(task_key, None))
        return task

    async def _fetch(
        self, state: ApplicationState, purpose: _Purpose, wanted: frozenset[str] | None
    ) -> None:
        plan = self._applications.get_plan(state.name)
        if plan is None:
            return
        await self._fetcher.fetch(plan, wanted)
        if purpose is not _Purpose.EARLY:
            state.refreshed_at = self._clock.monotonic()
