"""Pulls documents from other daemons."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

from celeryferry_core.decisions.fleet import StartupWithoutPeers
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.exceptions import PeerFailureKind
from celeryferry_core.models.topology import Host
from celeryferry_core.ports import DecisionLog, PeerClient
from celeryferry_daemon._internal.configuration.store import ConfigurationStore
from celeryferry_daemon._internal.streams import Streams
from celeryferry_daemon._internal.tasks import TaskSet

RETRY_INTERVAL = timedelta(milliseconds=500)
PULL_TIMEOUT = timedelta(seconds=1)
MAX_REQUESTS_PER_PULL = 64
MIN_STARTUP_ANSWERS = 3
STARTUP_BATCH_SIZE = 6
# Bounds the start-up of a whole fleet, in which no peer has an answer yet.
MAX_STARTUP_PEERS_ASKED = 60
# After this time a start-up goes on with fewer than MIN_STARTUP_ANSWERS answers.
STARTUP_PEERS_TIMEOUT = timedelta(seconds=5)


class PullResult(Enum):
    """How a pull from a peer ended."""

    COMPLETE = "complete"
    STARTING = "starting"
    FAILED = "failed"


class PeerPuller:
    """Takes over newer documents of other hosts.

    :param host: this host.
    :param store: active documents.
    :param streams: gives the membership.
    :param peers: client of other daemons.
    :param clock: source of time.
    :param random: order of peers.
    :param log: receiver of decisions.
    """

    def __init__(
        self,
        host: Host,
        store: ConfigurationStore,
        streams: Streams,
        peers: PeerClient,
        clock: Clock,
        random: RandomSource,
        log: DecisionLog,
    ) -> None:
        self._host = host
        self._store = store
        self._streams = streams
        self._peers = peers
        self._clock = clock
        self._random = random
        self._log = log
        self._tasks = TaskSet()
        self._pulling_digests: set[str] = set()
        self.on_change: Callable[[], None] = lambda: None

    async def stop(self) -> None:
        """Cancel running pulls."""
        await self._tasks.stop()

    def count_peers(self) -> int:
        """Count the listed hosts besides this one.

        :returns: number of hosts.
        """
        return len(self._list_peers())

    def handle_digest(self, host: Host, digest: str) -> bool:
        """Pull from a peer whose documents differ.

        :param host: the peer.
        :param digest: its digest; empty if it has no configuration yet.
        :returns: True if nothing of its documents is missing here.
        """
        if not digest:
            return False
        if self._store.covers(digest):
            return True
        if digest not in self._pulling_digests:
            self._pulling_digests.add(digest)
            self._tasks.spawn(self._pull_digest(host, digest), f"pull {host.host_id}")
        return False

    async def pull(self, host: Host) -> PullResult:
        """Take over all newer documents of a peer.

        :param host: the peer.
        :returns: ``COMPLETE`` once it has nothing newer.
        """
        for _ in range(MAX_REQUESTS_PER_PULL):
            request = self._store.make_request()
            reply = await self._peers.fetch_documents(host, request, PULL_TIMEOUT)
            if reply.is_err():
                rejected = reply.err_value.kind is PeerFailureKind.REJECTED
                return PullResult.STARTING if rejected else PullResult.FAILED
            texts = reply.ok_value.documents
            if await self._store.offer(texts, f"host {host.host_id}"):
                self.on_change()
            else:
                # Nothing is left, or only documents that are not valid here. The last
                # valid ones stay in force, as if the service had sent these.
                return PullResult.COMPLETE
        return PullResult.FAILED

    async def _pull_digest(self, host: Host, digest: str) -> None:
        try:
            if await self.pull(host) is PullResult.COMPLETE:
                self._store.mark_covered(digest)
                self.on_change()
        finally:
            self._pulling_digests.discard(digest)

    async def ask_peers(self) -> int:
        """Pull from at least three peers, or from all if there are fewer.

        :returns: number of peers that answered; 0 if none has a configuration.
        """
        deadline = self._clock.monotonic() + STARTUP_PEERS_TIMEOUT
        while True:
            peers = self._list_peers()
            results = await self._ask_once(list(peers))
            answered = results.count(PullResult.COMPLETE)
            if answered >= MIN_STARTUP_ANSWERS:
                return answered
            if not answered:
                if peers:
                    self._log.record(StartupWithoutPeers(len(results)))
                return 0
            if PullResult.FAILED not in results:
                # The others are starting as well and know nothing more.
                return answered
            if self._clock.monotonic() >= deadline:
                return answered
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    async def _ask_once(self, hosts: list[Host]) -> list[PullResult]:
        results: list[PullResult] = []
        while hosts and len(results) < MAX_STARTUP_PEERS_ASKED:
            batch = [self._pop_random(hosts) for _ in hosts[:STARTUP_BATCH_SIZE]]
            results += await asyncio.gather(*(self.pull(host) for host in batch))
            if results.count(PullResult.COMPLETE) >= MIN_STARTUP_ANSWERS:
                break
        return results

    def _pop_random(self, hosts: list[Host]) -> Host:
        return hosts.pop(self._random.randrange(len(hosts)))

    def _list_peers(self) -> list[Host]:
        hosts = self._streams.membership.value.hosts
        return [h for _, h in sorted(hosts.items()) if h.host_id != self._host.host_id]
