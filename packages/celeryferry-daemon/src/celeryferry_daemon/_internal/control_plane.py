"""Creates and connects the tasks for membership, leases and configuration."""

from celeryferry_core.freshness import Freshness
from celeryferry_core.leases import LeaseSender
from celeryferry_core.membership import MembershipTable
from celeryferry_daemon._internal.configuration.manager import ConfigurationManager
from celeryferry_daemon._internal.configuration.puller import PeerPuller
from celeryferry_daemon._internal.configuration.service import (
    ConfigurationServiceClient,
)
from celeryferry_daemon._internal.configuration.store import (
    ConfigurationStore,
    ParseDocument,
)
from celeryferry_daemon._internal.gate import ConfigurationGate
from celeryferry_daemon._internal.membership.host_list import HostListReader
from celeryferry_daemon._internal.membership.lease_manager import LeaseManager
from celeryferry_daemon._internal.membership.pause_detector import PauseDetector
from celeryferry_daemon._internal.membership.prober import Prober
from celeryferry_daemon._internal.metrics import FleetMetrics
from celeryferry_daemon._internal.roles import DaemonContext
from celeryferry_daemon._internal.tasks import TaskSet


class ControlPlane:
    """Tasks that decide which keys this host holds and which documents are active.

    :param context: dependencies that all tasks share.
    :param parse: parses and validates the text of a document.
    """

    def __init__(self, context: DaemonContext, parse: ParseDocument) -> None:
        self._build_membership(context)
        self._build_configuration(context, parse)

    def start(self, tasks: TaskSet) -> None:
        """Start the tasks that do not depend on the configuration.

        :param tasks: set that the tasks are added to and that cancels them.
        """
        tasks.spawn_restarting(self._pause_detector.run, "pause watch")
        tasks.spawn_restarting(self._host_list.run, "host list")
        tasks.spawn_restarting(self.prober.run, "prober")

    async def start_up(self) -> None:
        """Wait for the host list, then for the first complete configuration."""
        await self._host_list.has_read.wait()
        await self.configuration_manager.start_up()

    async def stop(self) -> None:
        """Cancel running pulls and close connections to the configuration service."""
        await self._puller.stop()
        await self.service.close()

    def _build_membership(self, context: DaemonContext) -> None:
        settings = context.settings
        self.sender = LeaseSender(settings.host.host_id, context.incarnation)
        self.metrics = FleetMetrics(context.registry)
        self._pause_detector = PauseDetector(context.clock, context.log)
        self.freshness = Freshness()
        self.table = MembershipTable(settings.host)
        self.lease_manager = LeaseManager(
            self.sender,
            context.streams,
            context.clock,
            context.random,
            context.log,
            self._pause_detector.check,
        )
        self.prober = Prober(
            self.sender,
            self.table,
            self.lease_manager,
            self.freshness,
            context.streams,
            context.peers,
            context.clock,
            context.random,
            context.log,
            self.metrics.probes,
            self._pause_detector.check,
        )
        self._pause_detector.on_pause += [
            lambda _: self.lease_manager.drop_all_leases(),
            self.prober.reset_after_pause,
        ]
        self._host_list = HostListReader(
            settings.host_list, self.prober.replace_host_list, context.log
        )

    def _build_configuration(
        self, context: DaemonContext, parse: ParseDocument
    ) -> None:
        settings = context.settings
        self.store = ConfigurationStore(
            context.streams, parse, context.log, context.mechanisms
        )
        self.service = ConfigurationServiceClient(settings.configuration_service)
        self._puller = PeerPuller(
            settings.host,
            self.store,
            context.streams,
            context.peers,
            context.clock,
            context.random,
            context.log,
        )
        self.configuration_manager = ConfigurationManager(
            settings.host,
            self.store,
            self.service,
            self.freshness,
            context.streams,
            self._puller,
            context.clock,
            context.random,
            context.log,
            context.mechanisms,
        )
        self.configuration_manager.on_change = self.prober.request_round
        self._puller.on_change = self.prober.request_round
        self.prober.on_digest = self._puller.handle_digest
        self.gate = ConfigurationGate(
            self.freshness,
            context.clock,
            context.mechanisms,
            self._pause_detector.check,
        )
