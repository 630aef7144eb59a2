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
# Limits the requests of a host when the whole fleet starts and no peer has documents.
MAX_STARTUP_PEERS_ASKED = 60
# After this time a start-up continues with fewer than MIN_STARTUP_ANSWERS answers.
STARTUP_PEERS_TIMEOUT = timedelta(seconds=5)


class PullResult(Enum):
    """Result of a pull from a peer; ``STARTING`` if the peer is not ready to answer."""

    COMPLETE = "complete"
    STARTING = "starting"
    FAILED = "failed"


class PeerPuller:
    """Pulls newer documents from other hosts.

    :param host: this host.
    :param store: receives the documents.
    :param streams: provide the membership.
    :param peers: client for other daemons.
    :param clock: source of time.
    :param random: determines the order in which peers are asked.
    :param log: receives decisions.
    :ivar on_change: called after documents have become active, and after a peer's
        documents were found to be no newer than the active ones.
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
        """Return the number of listed hosts other than this one."""
        return len(self._list_peers())

    def handle_digest(self, host: Host, digest: str) -> bool:
        """Start a pull from a peer if this host may lack some of its documents.

        :param host: the peer.
        :param digest: digest of its documents; empty if it has no configuration yet.
        :returns: True if the documents here are at least as new as the peer's.
        """
        if not digest:
            return False
        if self._store.is_at_least_as_new_as(digest):
            return True
        if digest not in self._pulling_digests:
            self._pulling_digests.add(digest)
            self._tasks.spawn(self._pull_digest(host, digest), f"pull {host.host_id}")
        return False

    async def pull(self, host: Host) -> PullResult:
        """Pull all newer documents from a peer.

        The pull fails after ``MAX_REQUESTS_PER_PULL`` requests.

        :param host: the peer.
        :returns: ``COMPLETE`` when the peer has no newer document that is valid here.
        """
        for _ in range(MAX_REQUESTS_PER_PULL):
            request = self._store.make_request()
            reply = await self._peers.fetch_documents(host, request, PULL_TIMEOUT)
            if reply.is_err():
                # A host that is starting rejects the request with status 503. Other
                # rejections are handled in the same way.
                rejected = reply.err_value.kind is PeerFailureKind.REJECTED
                return PullResult.STARTING if rejected else PullResult.FAILED
            texts = reply.ok_value.documents
            if await self._store.offer(texts, f"host {host.host_id}"):
                self.on_change()
            else:
                # The peer has nothing newer, or only documents that are not valid here.
                # As with invalid documents from the service, the last valid ones stay
                # active.
                return PullResult.COMPLETE
        return PullResult.FAILED

    async def _pull_digest(self, host: Host, digest: str) -> None:
        try:
            if await self.pull(host) is PullResult.COMPLETE:
                self._store.mark_not_newer(digest)
                self.on_change()
        finally:
            self._pulling_digests.discard(digest)

    async def ask_peers(self) -> int:
        """Pull from randomly chosen peers until ``MIN_STARTUP_ANSWERS`` have answered.

        One attempt asks at most ``MAX_STARTUP_PEERS_ASKED`` peers. If some but too few
        answered and others failed, it is repeated until ``STARTUP_PEERS_TIMEOUT`` has
        passed.

        :returns: number of peers whose documents were pulled; 0 if no peer has a
            configuration.
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
                # The other peers are starting too, so that a retry would not help.
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
