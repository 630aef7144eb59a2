"""Refreshes what the front knows about upstreams from their owners."""

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

# Replicas of applications that are queried are asked for before what is known of them
# gets older than this.
MAX_OBSERVATION_AGE = timedelta(milliseconds=500)
# A replica that was not observed between two checks is asked for, so an observation is
# never older than two checks.
CHECK_INTERVAL = MAX_OBSERVATION_AGE / 2
# Until every upstream has told its versions, or for this number of refreshes, so that
# the first failures after a start or a change of a document find other replicas known.
# Owners have their first leases and health answers within about 3 s of a start.
EARLY_INTERVAL = timedelta(milliseconds=200)
MAX_EARLY_REFRESHES = 25
# Applications that were not queried for this long are no longer refreshed.
QUERIED_LATELY = timedelta(seconds=10)
# Knowledge older than this is refreshed before a query is pinned.
STALE_AFTER = timedelta(seconds=2)
# Longest wait for the confirmation of a version that is already known everywhere.
CONFIRM_TIMEOUT = timedelta(milliseconds=100)
POLL_INTERVAL = timedelta(milliseconds=5)
# Once this number of queries has waited for one more refresh, and still no version is
# known on a replica of every shard, queries no longer wait. Periodic refreshes go on.
MAX_INCOMPLETE_WAITS = 3


class _Purpose(Enum):
    """Why observations are fetched; each purpose has at most one fetch at a time."""

    ALL = "all"
    # Observations that answers have not brought.
    DUE = "due"
    # Versions that are not known yet.
    EARLY = "early"


class Refresher:
    """Fetches observations for the applications that are queried.

    Owners attach observations to every answer. Only the rest is fetched periodically,
    and all of it before a query for which knowledge is missing or old. After a start
    or a change of a plan, replicas without known versions are asked for more often.

    :param applications: plans and states.
    :param router: takes the observations.
    :param peers: client side of the interface between daemons.
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
        """Start the periodic refreshes."""
        self._loop_tasks = [
            asyncio.create_task(self._run(), name="front-refresher"),
            asyncio.create_task(self._run_early(), name="front-early-refresher"),
        ]

    async def stop(self) -> None:
        """Stop all refreshes."""
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
                asked, state.asked = state.asked, frozenset()
                if now - state.queried_at < QUERIED_LATELY:
                    self._refresh_due(state, observed | asked)

    def _refresh_due(self, state: ApplicationState, known: set[str]) -> None:
        """Ask for the replicas that the interval since the previous check left out.

        :param state: the application.
        :param known: upstreams observed or asked for in that interval.
        """
        plan = self._applications.plan_of(state.name)
        # What is due during a running fetch is still due at the next check.
        if plan is None or (state.name, _Purpose.DUE) in self._tasks:
            return
        due = plan.addresses - known
        if due:
            state.asked = due
            self._begin(state, _Purpose.DUE, due)
        else:
            state.refreshed_at = self._clock.monotonic()

    async def _run_early(self) -> None:
        while True:
            for name in self._applications.list_names():
                plan = self._applications.plan_of(name)
                if plan is not None:
                    self._refresh_early(self._applications.state_of(name), plan)
            await asyncio.sleep(EARLY_INTERVAL.total_seconds())

    def _refresh_early(self, state: ApplicationState, plan: ApplicationPlan) -> None:
        if state.early_plan is not plan:
            state.early_plan = plan
            state.early_count = 0
        if state.early_count >= MAX_EARLY_REFRESHES:
            return
        versions_of = self._router.catalog.get_versions
        unknown = frozenset(a for a in plan.addresses if not versions_of(a))
        if not unknown:
            return
        state.early_count += 1
        self._begin(state, _Purpose.EARLY, unknown)

    async def ensure_known(
        self, state: ApplicationState, plan: ApplicationPlan, longest: timedelta
    ) -> None:
        """Refresh an application before a query if too little is known.

        :param state: the application.
        :param plan: its plan.
        :param longest: longest time to wait.
        """
        now = self._clock.monotonic()
        is_full = self._is_full(plan)
        is_stale = state.refreshed_at is None or now - state.refreshed_at > STALE_AFTER
        if is_full:
            state.incomplete_count = 0
            if is_stale:
                await self.refresh(state, min(longest, CONFIRM_TIMEOUT))
            return
        if not is_stale:
            if state.incomplete_count >= MAX_INCOMPLETE_WAITS:
                return
            state.incomplete_count += 1
        task = self._begin(state)
        end = now + min(longest, 2 * REFRESH_TIMEOUT)
        while not task.done() and not self._is_full(plan):
            if self._clock.monotonic() >= end:
                return
            await asyncio.wait([task], timeout=POLL_INTERVAL.total_seconds())

    def _is_full(self, plan: ApplicationPlan) -> bool:
        choice = self._router.choose_initial_version(plan, self._clock.monotonic())
        return choice is not None and choice.is_full

    async def refresh(self, state: ApplicationState, longest: timedelta) -> None:
        """Refresh an application, together with others that wait for the same.

        :param state: the application.
        :param longest: longest time to wait.
        """
        timeout_s = min(longest, REFRESH_TIMEOUT).total_seconds()
        await asyncio.wait([self._begin(state)], timeout=timeout_s)

    def _begin(
        self,
        state: ApplicationState,
        purpose: _Purpose = _Purpose.ALL,
        wanted: frozenset[str] | None = None,
    ) -> asyncio.Task[None]:
        """Start a fetch, or return the one that runs for the same purpose.

        :param state: the application.
        :param purpose: why observations are fetched.
        :param wanted: upstreams of interest, None for all.
        :returns: the task of the fetch.
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
        plan = self._applications.plan_of(state.name)
        if plan is None:
            return
        await self._fetcher.fetch(plan, wanted)
        if purpose is not _Purpose.EARLY:
            state.refreshed_at = self._clock.monotonic()
