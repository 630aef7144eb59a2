"""Runs whole forwarding sessions and compares every message with golden files."""

import os
import unittest
from pathlib import Path

from celeryferry_core.forwarding.outcomes import (
    Merged,
    NotRunResult,
    Relayed,
    UnknownResult,
)
from tests.core.forwarding_harness import (
    ForwardingHarness,
    answer_all,
    fail,
    lose,
    make_sharded_rule,
    make_single_rule,
    make_upstream,
    ms,
    refuse,
    succeed,
)

GOLDEN = Path(__file__).parent.parent / "golden"


def straggle_first(action, count):
    """Answer the first attempt at one shard late."""
    is_late = action.upstream.service == "s2" and count == 1
    return (150.0 if is_late else 10.0), succeed(action)


def shed_own_domain(action, count):
    """Refuse every attempt in the harness's own failure domain."""
    if action.upstream.failure_domain == "a":
        return 2.0, refuse(action)
    return answer_all(action, count)


def stay_silent(action, count):
    """Never answer for one shard."""
    return None if action.upstream.service == "s3" else answer_all(action, count)


def fail_first(action, count):
    """Fail the first attempt of a request to one service."""
    return 8.0, (fail(action) if count == 1 else succeed(action, b"body"))


class TestGoldenForwarding(unittest.TestCase):
    """Guards against unnoticed changes of events, actions or their order.

    Each session runs on a simulated clock with a fixed random seed, so its transcript
    is reproducible and any change of behaviour shows as a difference to the golden
    file.
    """

    def _compare(self, name: str, harness: ForwardingHarness) -> None:
        path = GOLDEN / f"forward_{name}.jsonl"
        lines = b"\n".join(harness.transcript) + b"\n"
        if os.environ.get("CELERYFERRY_WRITE_GOLDEN") == "1":
            path.write_bytes(lines)
        self.assertEqual(path.read_bytes(), lines)

    def test_every_shard_answers(self):
        """Guards the messages of a request that all four shards answer."""
        harness = ForwardingHarness()
        result = harness.run(make_sharded_rule())
        self._compare("plain", harness)
        self.assertEqual(result.missing_count, 0)

    def test_straggler_is_hedged(self):
        """Guards the time of a hedge and the end of the slower attempt."""
        harness = ForwardingHarness(straggle_first)
        result = harness.run(make_sharded_rule())
        self._compare("hedged", harness)
        self.assertEqual(result.missing_count, 0)
        self.assertLess(harness.elapsed, ms(150))

    def test_own_domain_sheds_load(self):
        """Guards the retries after refusals."""
        harness = ForwardingHarness(shed_own_domain)
        result = harness.run(make_sharded_rule())
        self._compare("shed", harness)
        self.assertEqual(result.missing_count, 0)

    def test_silent_shard_is_left_out(self):
        """Guards the time at which an incomplete answer is given."""
        harness = ForwardingHarness(stay_silent)
        result = harness.run(make_sharded_rule())
        self._compare("incomplete", harness)
        self.assertIsInstance(result, Merged)
        self.assertEqual(result.missing_count, 1)

    def test_cold_shards_are_waited_for_and_refused(self):
        """Guards against sending to some shards before enough are available."""
        harness = ForwardingHarness(domains="a")
        harness.senders.may_send_all = False
        for service in ("s0", "s1"):
            cold = make_upstream(service, "a", cold_for=ms(5_000))
            harness.registry.put(cold, harness.now)
        result = harness.run(make_sharded_rule())
        self._compare("cold", harness)
        self.assertIsInstance(result, NotRunResult)

    def test_failed_attempt_is_repeated(self):
        """Guards the retry of a repeatable request after a failure."""
        harness = ForwardingHarness(fail_first)
        result = harness.run(make_single_rule())
        self._compare("repeated", harness)
        self.assertIsInstance(result, Relayed)

    def test_lost_request_that_may_run_once(self):
        """Guards against a retry of a lost request that is not repeatable."""
        harness = ForwardingHarness(lambda a, _: (5.0, lose(a)))
        result = harness.run(make_single_rule(is_repeatable=False))
        self._compare("lost_once", harness)
        self.assertIsInstance(result, UnknownResult)
        self.assertEqual(len(harness.sent), 1)

    def test_caller_leaves(self):
        """Guards the cancellation of every open attempt."""
        harness = ForwardingHarness(lambda a, _: (400.0, succeed(a)))
        harness.run(make_sharded_rule(), caller_gone_after_ms=10)
        self._compare("caller_gone", harness)
        self.assertEqual(harness.cancelled, [0, 1, 2, 3])
