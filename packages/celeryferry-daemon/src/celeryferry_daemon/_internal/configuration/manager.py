"""Reads the first configuration and then watches the configuration service."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from celeryferry_core.decisions.fleet import (
    StartupFinished,
    WatcherChanged,
    WatchFailed,
)
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.freshness import MAX_FRESH_AGE, Freshness
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import DocumentText
from celeryferry_core.models.topology import Host
from celeryferry_core.models.views import Membership
from celeryferry_core.ports import DecisionLog
from celeryferry_core.rendezvous import rank_hosts
from celeryferry_daemon._internal.configuration.puller import PeerPuller
from celeryferry_daemon._internal.configuration.service import (
    ConfigurationServiceClient,
)
from celeryferry_daemon._internal.configuration.store import ConfigurationStore
from celeryferry_daemon._internal.streams import Streams

WATCHERS_PER_FAILURE_DOMAIN = 2
WATCHER_CHECK_INTERVAL = timedelta(milliseconds=200)
RETRY_INTERVAL = timedelta(milliseconds=500)
MAX_PARALLEL_FETCHES = 8

# A host that receives no confirmation through its peers reads the service itself. The
# delays keep the reads of 2,200 hosts below the rate that the service can process.
FALLBACK_MIN_DELAY = timedelta(seconds=4)
FALLBACK_MAX_JITTER = timedelta(seconds=6)


class ConfigurationManager:
    """Keeps the configuration store of one host up to date.

    :param host: this host.
    :param store: receives the documents.
    :param service: client of the configuration service.
    :param freshness: receives confirmations by the configuration service.
    :param streams: provide the membership.
    :param puller: pulls documents from other daemons.
    :param clock: source of time.
    :param random: determines the delays of fallback reads.
    :param log: receives decisions.
    :param mechanisms: switches for tests.
    :ivar watching: whether this host is a watcher of its failure domain.
    :ivar on_change: called after documents from the service have become active.
    """

    def __init__(
        self,
        host: Host,
        store: ConfigurationStore,
        service: ConfigurationServiceClient,
        freshness: Freshness,
        streams: Streams,
        puller: PeerPuller,
        clock: Clock,
        random: RandomSource,
        log: DecisionLog,
        mechanisms: Mechanisms,
    ) -> None:
        self._host = host
        self._store = store
        self._service = service
        self._freshness = freshness
        self._streams = streams
        self._puller = puller
        self._clock = clock
        self._random = random
        self._log = log
        self._mechanisms = mechanisms
        self._revision: int | None = None
        self._read_revisions: dict[str, int] = {}
        self._has_failed = False
        self.watching = False
        self.on_change: Callable[[], None] = lambda: None

    async def start_up(self) -> None:
        """Read the first configuration from peers or from the configuration service.

        Retries until one of them has answered.
        """
        answered = (
            await self._puller.ask_peers() if self._mechanisms.startup_peers else 0
        )
        asked = self._puller.count_peers()
        service_answered = False
        while not answered and not service_answered:
            service_answered = await self.read_service()
            if not service_answered:
                await asyncio.sleep(RETRY_INTERVAL.total_seconds())
                answered = await self._ask_peers()
        count = len(self._store.active)
        self._log.record(StartupFinished(count, asked, answered, service_answered))

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled.

        A watcher watches the service. Another host reads it only if it has received no
        confirmation for too long.
        """
        fallback_at = self._choose_fallback_time()
        while True:
            self._update_watching()
            now = self._clock.monotonic()
            if self.watching:
                if not await self._watch_service():
                    await asyncio.sleep(RETRY_INTERVAL.total_seconds())
                continue
            self._revision = None
            if self._is_unconfirmed(now) and now >= fallback_at:
                await self.read_service()
                fallback_at = self._choose_fallback_time()
            await asyncio.sleep(WATCHER_CHECK_INTERVAL.total_seconds())

    async def _ask_peers(self) -> int:
        if not self._mechanisms.startup_peers:
            return 0
        return await self._puller.ask_peers()

    def _update_watching(self) -> None:
        membership: Membership = self._streams.membership.value
        domain = self._host.failure_domain
        candidates = [
            host_id
            for host_id, host in membership.hosts.items()
            if host.failure_domain == domain
            and host_id in membership.live
            and host_id not in membership.leaving
        ]
        ranked = rank_hosts(f"watch/{domain}", candidates)
        watching = self._host.host_id in ranked[:WATCHERS_PER_FAILURE_DOMAIN]
        if watching != self.watching:
            self.watching = watching
            self._log.record(WatcherChanged(watching))

    def _is_unconfirmed(self, now: timedelta) -> bool:
        age = self._freshness.confirmation_age(now)
        return age is None or age > 0.8 * MAX_FRESH_AGE

    def _choose_fallback_time(self) -> timedelta:
        delay = FALLBACK_MIN_DELAY + FALLBACK_MAX_JITTER * self._random.random()
        return self._clock.monotonic() + delay

    async def _watch_service(self) -> bool:
        if self._revision is None:
            return await self.read_service()
        sent_at = self._clock.monotonic()
        answer = await self._service.watch(self._revision)
        match answer:
            case Ok(changes) if changes.revision < self._revision:
                # The service lost revisions, or another replica of it answered.
                self._revision = None
                return True
            case Ok(changes):
                return await self._apply_revisions(
                    changes.changed, changes.revision, sent_at
                )
            case Err(detail):
                return self._record_failure(detail)
        return False

    async def read_service(self) -> bool:
        """Read the list of documents, and the documents that this host does not have.

        :returns: False if the service did not answer or its answer was not valid.
        """
        sent_at = self._clock.monotonic()
        answer = await self._service.list_documents()
        match answer:
            case Ok(listing):
                changed = {
                    name: revision
                    for name, revision in listing.documents.items()
                    if self._read_revisions.get(name) != revision
                    and not self._store.holds(name, revision)
                }
                return await self._apply_revisions(changed, listing.revision, sent_at)
            case Err(detail):
                return self._record_failure(detail)
        return False

    async def _apply_revisions(
        self, changed: dict[str, int], revision: int, sent_at: timedelta
    ) -> bool:
        names = sorted(changed)
        for start in range(0, len(names), MAX_PARALLEL_FETCHES):
            batch = names[start : start + MAX_PARALLEL_FETCHES]
            answers = await asyncio.gather(*(self._service.fetch(n) for n in batch))
            texts: list[DocumentText] = []
            for name, answer in zip(batch, answers, strict=True):
                if answer.is_err():
                    return self._record_failure(answer.err_value)
                text = answer.ok_value
                if text.name != name or text.revision < changed[name]:
                    got = f"{text.name} at revision {text.revision}"
                    return self._record_failure(f"asked for {name}, got {got}")
                texts.append(text)
            if await self._store.offer(tuple(texts), "configuration service"):
                self.on_change()
            self._read_revisions.update((text.name, text.revision) for text in texts)
        self._revision = revision
        self._has_failed = False
        # A service that is behind a revision that is active here does not know the
        # later changes, so its answer confirms nothing. The confirmation is recorded
        # only now, when everything that the answer named has been applied.
        if revision >= self._store.latest_revision:
            self._freshness.confirm(sent_at)
        return True

    def _record_failure(self, detail: str) -> bool:
        self._revision = None
        if not self._has_failed:
            self._has_failed = True
            self._log.record(WatchFailed(detail))
        return False
