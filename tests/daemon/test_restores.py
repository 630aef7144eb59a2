"""Tests of hosts that follow a source which comes back from a copy of itself."""

import unittest
from datetime import timedelta

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.daemon.restorable_source import WatchEnd
from tests.daemon.restore_fleet import LINKS, Fleet, FleetChange
from tests.daemon.restore_hosts import RANKS

DOMAIN = "a"
UPSTREAM_IDS = ("u-1", "u-2")
HOSTS = st.sampled_from(tuple(RANKS))
LINK_NUMBERS = st.integers(0, len(LINKS) - 1)
WATCH_ENDS = st.sampled_from(WatchEnd)


def sample_times(*seconds: float) -> st.SearchStrategy[timedelta]:
    """Return a strategy that picks one of some durations."""
    return st.sampled_from([timedelta(seconds=each) for each in seconds])


# Time for hosts to learn of a change, from none to enough.
PAUSES = sample_times(0.0, 0.5, 1.0, 1.5)
CHANGES = st.tuples(st.sampled_from(FleetChange), st.sampled_from(UPSTREAM_IDS), PAUSES)
# Everything that was lost is written again within two seconds.
REWRITE_DELAYS = st.lists(sample_times(0.0, 0.3, 1.0, 1.9), min_size=1, max_size=3)
# An entry expires after three heartbeats of silence.
MIN_EXPIRY_TIME = timedelta(seconds=4)


class RestoreMachine(RuleBasedStateMachine):
    """Drives a fleet through losses of its source, of links and of hosts."""

    @initialize()
    def start(self):
        self.fleet = Fleet()
        for instance_id in UPSTREAM_IDS:
            self.fleet.start_upstream(instance_id)
        self.fleet.pass_time(timedelta(seconds=1))

    def teardown(self):
        if hasattr(self, "fleet"):
            try:
                if not self.fleet.violations:
                    self.fleet.converge()
                self.nothing_forbidden_has_happened()
            finally:
                self.fleet.close()

    def apply(self, changes):
        for change, instance_id, pause in changes:
            name = DOMAIN if change is FleetChange.SWITCH_DOMAIN else instance_id
            self.fleet.change(change, name)
            self.fleet.pass_time(pause)

    @rule(changes=st.lists(CHANGES, min_size=1, max_size=4))
    def change(self, changes):
        self.apply(changes)

    @rule(
        away=sample_times(0.01, 1.0, 5.0), watch_end=WATCH_ENDS, expires=st.booleans()
    )
    def lose_source(self, away, watch_end, expires):
        self.fleet.leave_source(watch_end)
        self.fleet.pass_time(away)
        expired_ids = ("u-1",) if expires and away >= MIN_EXPIRY_TIME else ()
        self.fleet.return_source(None, True, expired_ids, (timedelta(seconds=1),))

    @rule(
        kept=st.lists(CHANGES, max_size=2),
        lost=st.lists(CHANGES, min_size=1, max_size=4),
        aways=st.lists(sample_times(0.01, 0.5, 4.0), min_size=1, max_size=3),
        watch_end=WATCH_ENDS,
        has_history=st.booleans(),
        delays=REWRITE_DELAYS,
        pause=PAUSES,
    )
    def restore(self, kept, lost, aways, watch_end, has_history, delays, pause):
        self.apply(kept)
        copy = self.fleet.source.state
        self.apply(lost)
        for away in aways:
            self.fleet.leave_source(watch_end)
            self.fleet.pass_time(away)
            self.fleet.return_source(copy, has_history, (), delays)
            self.fleet.pass_time(pause)

    @rule(
        lost=st.lists(CHANGES, min_size=1, max_size=2),
        watch_end=WATCH_ENDS,
        delays=REWRITE_DELAYS,
    )
    def change_while_away(self, lost, watch_end, delays):
        copy = self.fleet.source.state
        self.fleet.leave_source(watch_end)
        self.apply(lost)
        self.fleet.return_source(copy, True, (), delays)

    @rule()
    def drop_history(self):
        self.fleet.source.drop_history()

    @rule(has_no_history=st.booleans())
    def refuse_watches(self, has_no_history):
        self.fleet.source.has_no_history = has_no_history

    @rule(host_id=HOSTS, is_cut=st.booleans())
    def end_watch(self, host_id, is_cut):
        if is_cut:
            self.fleet.source.cut_watch(host_id)
        else:
            self.fleet.source.hang_watch(host_id)

    @rule(host_id=HOSTS, is_refused=st.booleans())
    def refuse_host(self, host_id, is_refused):
        if is_refused:
            self.fleet.source.refused.add(host_id)
        else:
            self.fleet.source.refused.discard(host_id)

    @rule(replica_lag=sample_times(0.0, 1.0, 4.0), listing_delay=sample_times(0.0, 0.8))
    def slow_down(self, replica_lag, listing_delay):
        self.fleet.source.replica_lag = replica_lag
        self.fleet.source.listing_delay = listing_delay

    @rule(host_id=HOSTS)
    def restart_host(self, host_id):
        self.fleet.restart(host_id)

    @rule(number=LINK_NUMBERS, is_open=st.booleans())
    def switch_link(self, number, is_open):
        self.fleet.disturb()
        if is_open:
            self.fleet.links[number].open()
        else:
            self.fleet.links[number].cut()

    @rule(number=LINK_NUMBERS, delay=sample_times(0.002, 0.3, 1.1))
    def delay_link(self, number, delay):
        self.fleet.disturb()
        self.fleet.links[number].delay = delay

    @rule(duration=sample_times(0.01, 0.4, 2.0, 4.0))
    def pass_time(self, duration):
        self.fleet.pass_time(duration)

    @invariant()
    def nothing_forbidden_has_happened(self):
        if hasattr(self, "fleet"):
            assert not self.fleet.violations, self.fleet.violations[:3]


class TestRestores(RestoreMachine.TestCase):
    """Guards against hosts that go back to an older state, or stay at one.

    A source that comes back from a copy gives out its revisions a second time. The
    hosts must keep what they know until it is written again, and then follow it.
    """

    # Shrinking takes minutes; the phases are those that find a failure.
    settings = settings(
        derandomize=True,
        max_examples=200,
        stateful_step_count=20,
        deadline=None,
        phases=(Phase.explicit, Phase.generate),
    )


if __name__ == "__main__":
    unittest.main()
