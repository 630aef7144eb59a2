"""Tests that the checks of a fleet find faults in how it handles restores."""

import asyncio
import contextlib
import unittest
from collections.abc import Callable, Iterator
from datetime import timedelta
from unittest import mock

import msgspec
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from result import Ok

from celeryferry_core.forwarding.positions import START, AnswerUse, Position
from celeryferry_core.forwarding.registry import UpstreamRegistry
from celeryferry_core.forwarding.restores import HeldChanges
from celeryferry_daemon._internal.forwarding import follower as follower_module
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.ports import (
    DomainEvacuated,
    DomainRestored,
    SourceChanges,
)
from celeryferry_daemon._internal.forwarding.sharing import SharedSource
from celeryferry_daemon._internal.forwarding.state import HostState
from tests.daemon.restorable_source import LATENCY, WATCH_WAIT, State, WatchEnd
from tests.daemon.restore_fleet import Fleet
from tests.daemon.restore_hosts import FleetLink
from tests.daemon.test_restores import RestoreMachine

DOMAIN = "a"
Patch = contextlib.AbstractContextManager


def seconds(value: float) -> timedelta:
    """Return seconds as a duration."""
    return timedelta(seconds=value)


# Mutations: each returns a patch that takes one part of the mechanism away.


@contextlib.contextmanager
def order_by_revision() -> Iterator[None]:
    """Compare positions by revision alone."""
    with (
        mock.patch.object(Position, "__lt__", lambda a, b: a.revision < b.revision),
        mock.patch.object(Position, "__le__", lambda a, b: a.revision <= b.revision),
        mock.patch.object(Position, "__gt__", lambda a, b: a.revision > b.revision),
        mock.patch.object(Position, "__ge__", lambda a, b: a.revision >= b.revision),
    ):
        yield


def replace_use(function_name: str, use: AnswerUse, other: AnswerUse) -> Patch:
    """Treat the answers of one use as those of another.

    :param function_name: function of the follower that judges them.
    """
    judge = getattr(follower_module, function_name)

    def judge_wrongly(*positions: Position) -> AnswerUse:
        found = judge(*positions)
        return other if found is use else found

    return mock.patch.object(follower_module, function_name, judge_wrongly)


def use_outdated_entries() -> Patch:
    """Apply entries of a copy that say less than what is known."""
    return mock.patch.object(UpstreamRegistry, "is_outdated", lambda *_: False)


def remove_missing_at_once() -> Patch:
    """Start no grace period with a restore."""
    return mock.patch.object(UpstreamRegistry, "restart_grace_period", lambda *_: None)


def hold_no_change_of(kind: type) -> Patch:
    """Apply changes of a copy at once if they are of one kind."""
    get_holding_time = HostState._get_holding_time

    def get_wrong_time(state: HostState, change) -> timedelta:
        return (
            timedelta(0)
            if isinstance(change, kind)
            else get_holding_time(state, change)
        )

    return mock.patch.object(HostState, "_get_holding_time", get_wrong_time)


def ignore_configuration_order() -> Patch:
    """Put each configuration in force."""
    replace = HostState._replace_configuration

    def replace_always(state: HostState, configuration, now) -> None:
        state.configuration = None
        replace(state, configuration, now)

    return mock.patch.object(HostState, "_replace_configuration", replace_always)


def release_nothing() -> Patch:
    """Keep changes of a copy back for good."""
    return mock.patch.object(HeldChanges, "take_due", lambda *_: [])


def keep_held_when_written() -> Patch:
    """Apply a held change also if its item was written again meanwhile."""
    return mock.patch.object(HeldChanges, "drop", lambda *_: None)


def restart_no_held_times() -> Patch:
    """Let a second restore leave the times of held changes as they are."""
    return mock.patch.object(HeldChanges, "restart", lambda *_: None)


def forget_dropped() -> Patch:
    """Remember no entry of an upstream that was dropped."""
    drop = UpstreamRegistry._drop

    def drop_and_forget(registry: UpstreamRegistry, instance_id: str) -> None:
        drop(registry, instance_id)
        registry._dropped.clear()

    return mock.patch.object(UpstreamRegistry, "_drop", drop_and_forget)


def apply_exact_anywhere() -> Patch:
    """Apply the changes of a restore to any contents of an earlier era."""
    apply = SharedSource.apply

    def apply_wrongly(shared: SharedSource, update):
        own = shared.follower.position
        if update.after_era < update.era and not own.is_start and own.era < update.era:
            update = msgspec.structs.replace(
                update,
                after=own.revision,
                after_era=own.era,
                base_digest=shared.follower.compute_digest(),
            )
        return apply(shared, update)

    return mock.patch.object(SharedSource, "apply", apply_wrongly)


def answer_across_eras() -> Patch:
    """Answer a request of another era as one of the own era."""
    list_changes = SourceFollower.list_changes

    def list_wrongly(
        follower: SourceFollower, after: Position
    ) -> tuple[Position, SourceChanges]:
        own_era = follower.position.era
        base, changes = list_changes(follower, Position(own_era, after.revision))
        return (START if base.is_start else after), changes

    return mock.patch.object(SourceFollower, "list_changes", list_wrongly)


def check_no_era_of_update() -> Patch:
    """Treat what a restore has changed as unknown also after that restore."""
    apply = SharedSource.apply

    def apply_unchecked(shared: SharedSource, update):
        after, own = update.after_position, shared.follower.position
        is_repeated = after.era < own.era == update.era and not after.is_start
        if is_repeated and own < update.position:
            shared._heard_position = max(shared._heard_position, update.position)
            return shared._make_request()
        return apply(shared, update)

    return mock.patch.object(SharedSource, "apply", apply_unchecked)


def retry_at_once_without_history() -> Patch:
    """Wait only after failed calls."""
    pick = SourceFollower._pick_retry_delay_s

    def pick_wrongly(follower: SourceFollower, failure_count: int) -> float:
        return pick(follower, failure_count) if follower._failures else 0.0

    return mock.patch.object(SourceFollower, "_pick_retry_delay_s", pick_wrongly)


MUTATIONS: dict[str, Callable[[], Patch]] = {
    "order by revision alone": order_by_revision,
    "watch of a later era applied": lambda: replace_use(
        "judge_watch", AnswerUse.LIST, AnswerUse.APPLY
    ),
    "listing older than a peer's applied": lambda: replace_use(
        "judge_listing", AnswerUse.SKIP, AnswerUse.APPLY
    ),
    "listing of a later era treated as the same era": lambda: replace_use(
        "judge_listing", AnswerUse.RESTORE, AnswerUse.APPLY
    ),
    "stale listing applied": lambda: replace_use(
        "judge_listing", AnswerUse.STALE, AnswerUse.APPLY
    ),
    "stale watch applied": lambda: replace_use(
        "judge_watch", AnswerUse.STALE, AnswerUse.APPLY
    ),
    "late watch of an earlier era applied": lambda: replace_use(
        "judge_watch", AnswerUse.SKIP, AnswerUse.APPLY
    ),
    "outdated entry applied": use_outdated_entries,
    "missing entries of the copy removed at once": remove_missing_at_once,
    "domain restored by absence": lambda: hold_no_change_of(DomainRestored),
    "old evacuation applied": lambda: hold_no_change_of(DomainEvacuated),
    "configuration order ignored": ignore_configuration_order,
    "held change never released": release_nothing,
    "held change not dropped when written again": keep_held_when_written,
    "dropped upstreams not remembered": forget_dropped,
    "exact changes across eras applied to any position": apply_exact_anywhere,
    "removals answered across eras": answer_across_eras,
    "apply without its check of eras": check_no_era_of_update,
    "no retry delay after a lost history": retry_at_once_without_history,
    "held times not restarted": restart_no_held_times,
}

# Mutations that random examples find. How many it takes depends on the modules that are
# loaded, as hypothesis also draws the constants that it finds in them.
FOUND_BY_MACHINE = (
    "order by revision alone",
    "watch of a later era applied",
    "listing of a later era treated as the same era",
    "outdated entry applied",
    "missing entries of the copy removed at once",
    "domain restored by absence",
    "old evacuation applied",
    "configuration order ignored",
    "held change never released",
    "held change not dropped when written again",
    "dropped upstreams not remembered",
    "no retry delay after a lost history",
)
# The examples end with the first failure, so the bound costs no time before.
MACHINE_SETTINGS = settings(
    derandomize=True,
    database=None,
    max_examples=200,
    report_multiple_bugs=False,
    stateful_step_count=20,
    deadline=None,
    phases=(Phase.generate,),
)


class TestMachine(unittest.TestCase):
    """Guards against a machine of restores that passes whatever the hosts do."""

    def test_mutations_are_found(self):
        """Guards against checks that do not see a part of the mechanism fail."""
        for name in FOUND_BY_MACHINE:
            # An error of the machine itself is none that it has found.
            with (
                self.subTest(name),
                MUTATIONS[name](),
                self.assertRaises(AssertionError),
            ):
                run_state_machine_as_test(RestoreMachine, settings=MACHINE_SETTINGS)


@contextlib.contextmanager
def start_fleet() -> Iterator[Fleet]:
    """Start a fleet with one upstream."""
    fleet = Fleet()
    try:
        fleet.start_upstream("u-1")
        fleet.pass_time(seconds(1))
        yield fleet
    finally:
        fleet.close()


def find_links(fleet: Fleet, *host_ids: str) -> list[FleetLink]:
    """Return the links whose ends are all among some hosts."""
    return [link for link in fleet.links if {link.host, link.relay} <= set(host_ids)]


def find_links_of(fleet: Fleet, host_id: str) -> list[FleetLink]:
    """Return the links of a host."""
    return [link for link in fleet.links if host_id in (link.host, link.relay)]


def go_back_without_era(fleet: Fleet, copy: State) -> None:
    """Let the source return to a copy without a change of its era."""
    fleet.leave_source(WatchEnd.CUT)
    fleet.source.state = copy
    fleet.source.come_back()


def check_converged(fleet: Fleet) -> None:
    """Check that the hosts have what the source holds."""
    fleet.converge()
    assert not fleet.violations, fleet.violations[:3]


def meet_stale_listings(fleet: Fleet) -> None:
    """Let a source that states no new era answer listings with an older state."""
    fleet.start_upstream("u-2")
    fleet.pass_time(seconds(1))
    copy = fleet.source.state
    fleet.end_upstream("u-2")
    fleet.pass_time(seconds(1))
    go_back_without_era(fleet, copy)
    fleet.pass_time(seconds(2))
    for host_id, host in fleet.hosts.items():
        assert host.state.registry.get("u-2") is None, host_id
        assert host.follower.is_unavailable, host_id


def meet_stale_watches(fleet: Fleet) -> None:
    """Let a source that states no new era answer watches with an older state."""
    copy = fleet.source.state
    fleet.publish()
    fleet.pass_time(seconds(1))

    async def watch(_host_id: str, after: int, may_wait: bool):
        await asyncio.sleep((WATCH_WAIT if may_wait else LATENCY).total_seconds())
        return Ok(fleet.source.state.list_changes(after))

    fleet.source.watch = watch
    go_back_without_era(fleet, copy)
    fleet.pass_time(seconds(4))
    for host_id, host in fleet.hosts.items():
        assert host.follower.is_unavailable, host_id


def answer_watch_from_before_restore(fleet: Fleet) -> None:
    """Let a watch of one era be answered while the host is in the next one."""
    copy = fleet.source.state
    fleet.source.hang_watch("relay-1")
    fleet.publish()
    fleet.pass_time(seconds(0.5))
    fleet.leave_source(WatchEnd.LATE)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    fleet.source.cut_watch("relay-2")
    fleet.pass_time(seconds(0.5))
    assert fleet.hosts["relay-1"].follower.position.era == 1
    check_converged(fleet)


def answer_watch_after_restore(fleet: Fleet) -> None:
    """Let a watch of one era be answered in the next one, in which the host is.

    The answer lacks the first change of the later era, as its revision is lower than
    the one that was asked for.
    """
    copy = fleet.source.state
    for _ in range(2):
        fleet.publish()
    fleet.pass_time(seconds(0.8))
    fleet.leave_source(WatchEnd.KEPT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    fleet.source.cut_watch("relay-2")
    fleet.pass_time(seconds(0.5))
    assert fleet.hosts["relay-1"].follower.position.era == 1
    fleet.drain("u-1")
    check_converged(fleet)


def lose_entry_unnoticed(fleet: Fleet) -> None:
    """Restore the source from a copy without an upstream, while the watches wait."""
    copy = fleet.source.state
    fleet.start_upstream("u-2")
    fleet.pass_time(seconds(1))
    fleet.leave_source(WatchEnd.KEPT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    # The waiting watches are answered with this change.
    fleet.evacuate(DOMAIN)
    check_converged(fleet)


def restore_beyond_a_member(fleet: Fleet) -> None:
    """Let a member that lacks a change get the differences of a restore.

    The change is in the copy, so it is not among the differences.
    """
    member_links = find_links_of(fleet, "member-2")
    for link in member_links:
        link.cut()
        link.delay = seconds(0.3)
    fleet.publish()
    copy = fleet.source.state
    fleet.pass_time(seconds(0.4))
    fleet.start_upstream("u-2")
    fleet.pass_time(seconds(0.05))
    for link in member_links:
        link.open()
    fleet.leave_source(WatchEnd.CUT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    fleet.pass_time(seconds(2))
    check_converged(fleet)


def ask_across_eras(fleet: Fleet) -> None:
    """Let a member ask for changes after a revision of the era before.

    The later era has given out that revision and lower ones again.
    """
    copy = fleet.source.state
    for _ in range(2):
        fleet.publish()
    fleet.pass_time(seconds(1))
    member_links = find_links_of(fleet, "member-2")
    for link in member_links:
        link.cut()
    fleet.leave_source(WatchEnd.CUT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    fleet.pass_time(seconds(0.3))
    fleet.drain("u-1")
    for instance_id in ("u-2", "u-3"):
        fleet.start_upstream(instance_id)
    fleet.pass_time(seconds(0.4))
    for link in member_links:
        link.open()
    check_converged(fleet)


def list_at_two_relays(fleet: Fleet) -> None:
    """Let the relays list a restored source one after the other.

    The members have the differences from the first relay when those of the second one
    arrive, which is one change ahead.
    """
    for link in find_links(fleet, "relay-1", "relay-2"):
        link.cut()
    copy = fleet.source.state
    fleet.publish()
    fleet.pass_time(seconds(0.8))
    fleet.leave_source(WatchEnd.KEPT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    fleet.source.cut_watch("relay-1")
    # The first relay passes the next changes on before the next ticks.
    fleet.pass_time(seconds(0.25))
    assert fleet.hosts["relay-1"].follower.position.era == 1
    assert fleet.hosts["relay-2"].follower.position.era == 0
    whole_count = 0
    answer = SharedSource.answer

    def count_whole(shared: SharedSource, request):
        nonlocal whole_count
        update = answer(shared, request)
        whole_count += update.after_position.is_start
        return update

    with mock.patch.object(SharedSource, "answer", count_whole):
        fleet.drain("u-1")
        fleet.pass_time(LATENCY / 2)
        fleet.evacuate(DOMAIN)
        fleet.pass_time(seconds(0.4))
    positions = {host.follower.position for host in fleet.hosts.values()}
    assert positions == {fleet.source.state.position}, positions
    assert whole_count == 0, f"{whole_count} times the whole contents"
    check_converged(fleet)


def overtake_listing(fleet: Fleet) -> None:
    """Let a peer send a change while an older listing is on its way."""
    fleet.evacuate(DOMAIN)
    fleet.pass_time(seconds(0.5))
    fleet.source.has_no_history = True
    fleet.source.listing_delay = seconds(0.8)
    fleet.source.cut_watch("relay-1")
    fleet.pass_time(seconds(0.3))
    fleet.source.has_no_history = False
    fleet.take_back(DOMAIN)
    check_converged(fleet)


def lose_changes(fleet: Fleet) -> None:
    """Lose one change of each kind, and let them be written again later."""
    for instance_id in ("u-2", "u-3"):
        fleet.start_upstream(instance_id)
    fleet.evacuate("b")
    fleet.pass_time(seconds(1))
    copy = fleet.source.state
    fleet.publish()
    fleet.evacuate(DOMAIN)
    fleet.take_back("b")
    fleet.drain("u-1")
    fleet.become_cold("u-2")
    fleet.end_upstream("u-3")
    fleet.start_upstream("u-4")
    fleet.pass_time(seconds(1))
    fleet.leave_source(WatchEnd.CUT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    check_converged(fleet)


def change_mind_about_domain(fleet: Fleet) -> None:
    """Put a domain back into service whose evacuation was lost."""
    copy = fleet.source.state
    fleet.evacuate(DOMAIN)
    fleet.pass_time(seconds(1))
    fleet.leave_source(WatchEnd.CUT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    fleet.take_back(DOMAIN)
    check_converged(fleet)


def reach_lost_revision_again(fleet: Fleet) -> None:
    """Let a waiting watch be answered in a later era, beyond the asked revision."""
    copy = fleet.source.state
    fleet.publish()
    fleet.pass_time(seconds(1))
    fleet.leave_source(WatchEnd.KEPT)
    fleet.return_source(copy, True, (), (seconds(1.9),))
    fleet.drain("u-1")
    fleet.start_upstream("u-2")
    check_converged(fleet)


def restore_twice(fleet: Fleet) -> None:
    """Restore the source from the same copy before anything is written again.

    All restores together take longer than what is held back after the first one.
    """
    copy = fleet.source.state
    fleet.evacuate(DOMAIN)
    fleet.pass_time(seconds(1))
    for pause in (1.5, 1.5, 1.8):
        fleet.leave_source(WatchEnd.CUT)
        fleet.pass_time(seconds(0.1))
        fleet.return_source(copy, True, (), (seconds(1.9),))
        fleet.pass_time(seconds(pause))
    check_converged(fleet)


def lose_history(fleet: Fleet) -> None:
    """Let each watch find its history gone."""
    fleet.source.has_no_history = True
    fleet.pass_time(seconds(3))
    check_converged(fleet)


class TestSequences(unittest.TestCase):
    """Guards against faults that random examples seldom meet.

    Each sequence passes on the code as it is and fails under its mutation.
    """

    def check(self, name: str, sequence: Callable[[Fleet], None]):
        """Run a sequence without and with a mutation."""
        with start_fleet() as fleet:
            sequence(fleet)
        with (
            MUTATIONS[name](),
            start_fleet() as fleet,
            self.assertRaises(AssertionError),
        ):
            sequence(fleet)

    def test_stale_listing(self):
        """Guards against upstreams that left, by a source that goes back unsaid."""
        self.check("stale listing applied", meet_stale_listings)

    def test_stale_watch(self):
        """Guards against a source that counts as read while it is behind the hosts."""
        self.check("stale watch applied", meet_stale_watches)

    def test_late_watch_of_an_earlier_era(self):
        """Guards against a relay that goes back, or never learns of a drain."""
        for sequence in (answer_watch_from_before_restore, answer_watch_after_restore):
            with self.subTest(sequence.__name__):
                self.check("late watch of an earlier era applied", sequence)

    def test_missing_entries_of_the_copy(self):
        """Guards against upstreams that get no work until they are written again."""
        self.check("missing entries of the copy removed at once", lose_entry_unnoticed)

    def test_exact_changes_across_eras(self):
        """Guards against a member without a configuration that the copy holds."""
        self.check(
            "exact changes across eras applied to any position",
            restore_beyond_a_member,
        )

    def test_request_across_eras(self):
        """Guards against a member without the first changes after a restore."""
        self.check("removals answered across eras", ask_across_eras)

    def test_differences_from_two_relays(self):
        """Guards against the whole contents for each member after each restore.

        No rule needs the check, so this counts what is sent.
        """
        self.check("apply without its check of eras", list_at_two_relays)

    def test_overtaken_listing(self):
        """Guards against a domain out of service, by a listing that was overtaken."""
        self.check("listing older than a peer's applied", overtake_listing)

    def test_watch_of_a_later_era(self):
        """Guards against missing what is below the revision that a watch asked for."""
        self.check("watch of a later era applied", reach_lost_revision_again)

    def test_lost_changes(self):
        """Guards against acknowledged changes that are undone by a copy."""
        for name in (
            "order by revision alone",
            "listing of a later era treated as the same era",
            "outdated entry applied",
            "domain restored by absence",
            "old evacuation applied",
            "configuration order ignored",
            "held change not dropped when written again",
            "dropped upstreams not remembered",
        ):
            with self.subTest(name):
                self.check(name, lose_changes)

    def test_change_that_is_not_written_again(self):
        """Guards against a domain that stays out of service after a restore."""
        self.check("held change never released", change_mind_about_domain)

    def test_two_restores(self):
        """Guards against work for a domain that is out, between two restores."""
        self.check("held times not restarted", restore_twice)

    def test_lost_history(self):
        """Guards against calls as fast as a source answers that a history is gone."""
        self.check("no retry delay after a lost history", lose_history)


if __name__ == "__main__":
    unittest.main()
