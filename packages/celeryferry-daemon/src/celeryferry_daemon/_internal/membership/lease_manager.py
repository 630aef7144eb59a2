"""Leases of this process, which acts as lease holder and as witness of other hosts."""

from collections.abc import Callable
from datetime import timedelta

from celeryferry_core.decisions.fleet import (
    GrantsConflict,
    KeysHeld,
    KeysReleased,
)
from celeryferry_core.environment import Clock, RandomSource
from celeryferry_core.leases import (
    PROBE_INTERVAL,
    LeaseHolder,
    LeaseReply,
    LeaseRequest,
    LeaseSender,
    LeaseWitness,
)
from celeryferry_core.models.views import ConfigurationView, HeldKeys, Membership
from celeryferry_core.placement import (
    format_key,
    get_cell_domain,
    rank_owners,
    select_group,
    select_key_cell,
)
from celeryferry_core.ports import DecisionLog
from celeryferry_daemon._internal.streams import Streams


def list_keys(view: ConfigurationView, failure_domain: str) -> frozenset[str]:
    """Return the ownership keys of the upstreams in a failure domain.

    :param view: active documents.
    :param failure_domain: failure domain of the upstreams.
    """
    keys = set()
    for application in {a.document.application for a in view.documents.values()}:
        services = view.list_services(application)
        for document in services:
            for shard in document.shards:
                if any(r.failure_domain == failure_domain for r in shard.replicas):
                    group = select_group(document.service, shard)
                    keys.add(format_key(application, group, failure_domain))
    return frozenset(keys)


class LeaseManager:
    """Implements ``ports.Leases`` and decides which keys this host should hold.

    :param sender: identity of this process.
    :param streams: receive the held keys when they change.
    :param clock: source of time.
    :param random: determines the delay after conflicting grants.
    :param log: receives decisions.
    :param check_pause: called with the current time before leases are read or grants
        are recorded; it drops all leases if the process was paused.
    :ivar count_in_flight: returns the number of requests in flight for a key; the
        daemon sets it if it has an owner role.
    """

    def __init__(
        self,
        sender: LeaseSender,
        streams: Streams,
        clock: Clock,
        random: RandomSource,
        log: DecisionLog,
        check_pause: Callable[[timedelta], bool] = lambda now: False,
    ) -> None:
        self._sender = sender
        self._streams = streams
        self._clock = clock
        self._log = log
        self._witness = LeaseWitness(clock.monotonic())
        self._holder = LeaseHolder(
            sender.host_id, lambda: PROBE_INTERVAL * (0.5 + 1.5 * random.random())
        )
        self._published_keys: frozenset[str] = frozenset()
        # Cached, because every round of probes needs the keys of the failure domain and
        # the keys that this host should hold.
        self._domain_keys: frozenset[str] = frozenset()
        self._domain_keys_digest: str | None = None
        self._chosen_keys: frozenset[str] = frozenset()
        self._chosen_inputs: tuple | None = None
        self._check_pause = check_pause
        self.count_in_flight: Callable[[str], int] = lambda key: 0

    def expires_at(self, key: str) -> timedelta | None:
        """Return the monotonic time at which the lease on a key expires.

        :param key: ownership key.
        :returns: the time, or None if no new work may start for the key.
        """
        now = self._clock.monotonic()
        self._check_pause(now)
        return self._holder.expires_at(key, now)

    def holder_of(self, key: str) -> str | None:
        """Return the id of the lease holder of a key, None if it is not known here.

        :param key: ownership key.
        """
        now = self._clock.monotonic()
        if self._holder.expires_at(key, now) is not None:
            return self._sender.host_id
        return self._witness.find_holder(key, now) or self._holder.find_holder(key)

    def held_keys(self) -> frozenset[str]:
        """Return the keys for which new work may start."""
        return self._holder.held_keys(self._clock.monotonic())

    def has_grants(self) -> bool:
        """Return whether any key is held or is being handed over."""
        return self._holder.has_grants()

    def drop_all_leases(self) -> None:
        """Drop all leases after a pause, during which they may have expired."""
        self._holder.drop_all_grants()
        self.publish_held_keys()

    def choose_keys(
        self,
        view: ConfigurationView,
        membership: Membership,
        cell_members: frozenset[str],
        domain_host_count: int,
        cell_name: str,
    ) -> frozenset[str]:
        """Return the keys for which this host ranks first among the candidates.

        Candidates are the hosts of the cell that are live and not leaving.

        :param view: active documents.
        :param membership: hosts with their liveness.
        :param cell_members: ids of the listed hosts of this host's cell.
        :param domain_host_count: number of listed hosts in this host's failure domain.
        :param cell_name: name of the cell.
        """
        candidates = (cell_members & membership.live) - membership.leaving
        if self._sender.host_id not in candidates:
            return frozenset()
        chosen_inputs = (
            view.digest,
            cell_members,
            candidates,
            domain_host_count,
            cell_name,
        )
        if chosen_inputs != self._chosen_inputs:
            self._chosen_inputs = chosen_inputs
            self._chosen_keys = frozenset(
                key
                for key in self._list_domain_keys(view, get_cell_domain(cell_name))
                if select_key_cell(key, domain_host_count) == cell_name
                and _choose_owner(key, cell_members, candidates) == self._sender.host_id
            )
        return self._chosen_keys

    def _list_domain_keys(
        self, view: ConfigurationView, failure_domain: str
    ) -> frozenset[str]:
        """Return the keys of this host's failure domain, computed once for each view.

        :param view: active documents.
        :param failure_domain: failure domain of this host.
        """
        if view.digest != self._domain_keys_digest:
            self._domain_keys = list_keys(view, failure_domain)
            self._domain_keys_digest = view.digest
        return self._domain_keys

    def prepare_request(
        self, cell_members: frozenset[str], keys: frozenset[str], now: timedelta
    ) -> tuple[LeaseRequest, bool]:
        """Build the lease request for the next probes, and answer it as a witness.

        :param cell_members: ids of the listed hosts of this host's cell.
        :param keys: keys that this host should hold.
        :param now: current monotonic time.
        :returns: the request, and whether keys were released.
        """
        self._holder.replace_witnesses(cell_members, now)
        released = self._holder.hand_over(keys, self.count_in_flight, now)
        if released:
            self._log.record(KeysReleased(released))
        request = self._holder.build_request(keys, now)
        if self._sender.host_id in cell_members:
            reply = self._witness.handle_request(self._sender, request, now)
            self.record_reply(self._sender.host_id, request.sequence, now, reply)
        return request, bool(released)

    def answer_request(self, sender: LeaseSender, request: LeaseRequest) -> LeaseReply:
        """Answer the lease request of another host as its witness.

        :param sender: process that sent the request.
        :param request: keys that it wants and releases.
        """
        return self._witness.handle_request(sender, request, self._clock.monotonic())

    def record_reply(
        self, witness: str, sequence: int, sent_at: timedelta, reply: LeaseReply
    ) -> None:
        """Record the reply of a witness and publish the held keys if they changed.

        :param witness: id of the host that replied.
        :param sequence: sequence number of the lease request.
        :param sent_at: monotonic time just before the probe was sent.
        :param reply: keys that the witness granted and refused.
        """
        now = self._clock.monotonic()
        self._check_pause(now)
        conflicts = self._holder.record_reply(witness, sequence, sent_at, reply, now)
        if conflicts:
            self._log.record(GrantsConflict(conflicts, witness))
        self.publish_held_keys()

    def publish_held_keys(self) -> None:
        """Publish and log the held keys if they changed."""
        held = self.held_keys()
        if held == self._published_keys:
            return
        acquired = tuple(sorted(held - self._published_keys))
        lost = tuple(sorted(self._published_keys - held))
        self._published_keys = held
        self._log.record(KeysHeld(acquired, lost))
        self._streams.held_keys.on_next(HeldKeys(held))


def _choose_owner(
    key: str, cell_members: frozenset[str], candidates: frozenset[str]
) -> str:
    """Return the highest ranked candidate.

    ``celeryferry_core.owners.OwnerDirectory`` chooses in the same way.
    """
    ranked = rank_owners(key, cell_members)
    return next(host_id for host_id in ranked if host_id in candidates)
