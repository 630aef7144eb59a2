"""Plans and states of the applications that a front answers queries for."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from reactivex.abc import DisposableBase

from celeryferry_core.budgets import Budgets
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.views import ConfigurationView, Membership
from celeryferry_core.plans import ApplicationPlan, build_plan
from celeryferry_core.routing import Router
from celeryferry_daemon._internal.streams import Streams


@dataclass(slots=True)
class ApplicationState:
    """State of one application that outlives its queries.

    :param name: name of the application.
    :param budgets: budgets for hedges and retries.
    :param queried_at: monotonic time of the latest query.
    :param refreshed_at: monotonic time of the latest check that found no replica due,
        or of the latest finished fetch that was not an early one; None before both.
    :param requested_upstreams: upstreams whose observations the latest periodic check
        requested.
    :param incomplete_count: number of queries that have waited for another refresh
        while some shard had no known version; reset when every shard has one.
    :param early_plan: plan that ``early_count`` belongs to.
    :param early_count: number of early refreshes since that plan came into use.
    """

    name: str
    budgets: Budgets = field(default_factory=Budgets)
    queried_at: timedelta = timedelta(0)
    refreshed_at: timedelta | None = None
    requested_upstreams: frozenset[str] = frozenset()
    incomplete_count: int = 0
    early_plan: ApplicationPlan | None = None
    early_count: int = 0


class Applications:
    """Keeps the plans and states of applications, and updates the router.

    Plans are cached until the configuration or the leaving upstreams change. The state
    of an application is dropped when no document names it any more. The router receives
    the configured upstreams and the membership.

    :param streams: streams of the daemon.
    :param router: records what is known about upstreams and owners.
    :param mechanisms: switches for tests.
    :param on_change: called after the plans were discarded; they are built again when
        they are next used.
    :ivar membership: latest view of the hosts.
    """

    __slots__ = (
        "_mechanisms",
        "_on_change",
        "_plans",
        "_router",
        "_states",
        "_streams",
        "_subscriptions",
        "_view",
        "membership",
    )

    def __init__(
        self,
        streams: Streams,
        router: Router,
        mechanisms: Mechanisms,
        on_change: Callable[[], None],
    ) -> None:
        self._streams = streams
        self._router = router
        self._mechanisms = mechanisms
        self._on_change = on_change
        self._plans: dict[str, ApplicationPlan] = {}
        self._states: dict[str, ApplicationState] = {}
        self._subscriptions: list[DisposableBase] = []
        self._view = ConfigurationView()
        self.membership = Membership()

    def subscribe(self) -> None:
        """Subscribe to configuration and membership."""
        self._subscriptions = [
            self._streams.configuration.subscribe(self._apply_configuration),
            self._streams.membership.subscribe(self._apply_membership),
        ]

    def unsubscribe(self) -> None:
        """Cancel the subscriptions."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def _apply_configuration(self, view: ConfigurationView) -> None:
        self._view = view
        self._plans.clear()
        documents = [active.document for active in view.documents.values()]
        names = {document.application for document in documents}
        for name in self._states.keys() - names:
            del self._states[name]
        addresses = frozenset(
            replica.address
            for document in documents
            for shard in document.shards
            for replica in shard.replicas
        )
        self._router.catalog.retain(addresses)
        self._on_change()

    def _apply_membership(self, membership: Membership) -> None:
        previous = self.membership.leaving_upstreams
        self.membership = membership
        self._router.directory.replace_membership(membership)
        if membership.leaving_upstreams != previous:
            self._plans.clear()
            self._on_change()

    def get_plan(self, application: str) -> ApplicationPlan | None:
        """Return the plan of an application, None if no document names it.

        :param application: name of the application.
        """
        plan = self._plans.get(application)
        if plan is None:
            services = self._view.list_services(application)
            if not services:
                return None
            leaving = self.membership.leaving_upstreams
            plan = build_plan(application, services, leaving, self._mechanisms)
            self._plans[application] = plan
        return plan

    def get_state(self, application: str) -> ApplicationState:
        """Return the state of an application, and create it if there is none.

        :param application: name of an application that a document names.
        """
        state = self._states.get(application)
        if state is None:
            state = ApplicationState(application)
            self._states[application] = state
        return state

    def list_names(self) -> set[str]:
        """Return the names of all applications in the active documents."""
        documents = self._view.documents.values()
        return {active.document.application for active in documents}

    def list_states(self) -> tuple[ApplicationState, ...]:
        """Return the states of all applications that have one."""
        return tuple(self._states.values())
