"""A short soak with fixed seeds. ``make soak`` plays more and longer ones."""

import unittest
from datetime import timedelta
from types import SimpleNamespace

from celeryferry_standins.platform.fleet import PlatformHost
from celeryferry_standins.platform.upstream import PlatformUpstream
from tests.soak.callers import (
    ADDED_PATH,
    LARGE_COOKIE_BYTES,
    MOVED_PATH,
    ORDER_PATH,
    Exchange,
)
from tests.soak.history import STORE, Drain, History, Span, Version
from tests.soak.judge import find_violations
from tests.soak.run import make_configuration, run_soak

SEEDS = (1,)
LENGTH = timedelta(seconds=8)


class TestShortSoak(unittest.IsolatedAsyncioTestCase):
    """Guards against promises that break when faults come in series and overlap."""

    async def test_no_promise_is_broken(self):
        """Guards against orders that run twice or are lost, and untrue refusals."""
        for seed in SEEDS:
            report = await run_soak(seed, LENGTH)
            print(report.to_text())
            self.assertGreater(report.statuses[200], 0)
            self.assertEqual(report.violations, [], "\n".join(report.faults))


class TestJudge(unittest.TestCase):
    """Shows that the judge finds each broken promise, and excuses what is excused."""

    def setUp(self):
        self.host = PlatformHost("host-za", "za")
        self.addCleanup(self.host.close)
        self.upstream = PlatformUpstream("i-orders-za", "orders", "za")
        self.faults = SimpleNamespace(
            started_at=0.0, has_excuse=lambda *arguments: False
        )
        services = {"/order/": frozenset({"orders"})}
        self.history = History([Version(1, services, 0.0, 0.0)])

    def judge(self, run_count: int, **fields) -> list[str]:
        """Return the names of the broken promises of one order."""
        exchange = Exchange("id-1", self.host, ORDER_PATH, 1.0, 2.0)
        for name, value in fields.items():
            setattr(exchange, name, value)
        self.upstream.runs["id-1"] = run_count
        found = find_violations([exchange], [self.upstream], self.faults, self.history)
        return [line.split()[0] for line in found]

    def test_kept_promises(self):
        """Guards against a judge that finds fault with what is allowed."""
        self.assertEqual(self.judge(1, status=200, answered_id="id-1"), [])
        self.assertEqual(self.judge(0, status=503), [])
        self.assertEqual(self.judge(1, status=502), [])
        self.assertEqual(self.judge(1, is_given_up=True), [])
        self.assertEqual(self.judge(0), [])

    def test_broken_promises(self):
        """Guards against a judge that misses a broken promise."""
        self.assertEqual(self.judge(2, status=200, answered_id="id-1"), ["TWICE"])
        self.assertEqual(self.judge(1, status=503), ["REFUSED"])
        self.assertEqual(self.judge(1, status=200, answered_id="id-0"), ["MIXED"])
        self.assertEqual(self.judge(0, status=200, answered_id="id-1"), ["MIXED"])
        self.assertEqual(self.judge(0, status=404), ["DENIED"])
        self.assertEqual(self.judge(1), ["LOST"])
        self.upstream.runs["id-2"] = 1
        self.assertEqual(self.judge(0, status=503), ["UNASKED"])

    def test_unplanned_fault_excuses_a_lost_order(self):
        """Guards against blaming a host that was killed or paused."""
        self.faults.has_excuse = lambda *arguments: True
        self.assertEqual(self.judge(1), [])


class TestJudgeOfVersions(unittest.TestCase):
    """Shows that the judge finds what is handled by a version that is out of force.

    Version 1 is in force from the start. Version 2 is acknowledged at 100 s; it moves
    one route from the service ``left`` to ``right`` and adds another one.
    """

    def setUp(self):
        self.host = PlatformHost("host-za", "za")
        self.addCleanup(self.host.close)
        self.upstreams = [
            PlatformUpstream(f"i-{name}-za", name, "za")
            for name in ("left", "right", "orders")
        ]
        self.faults = SimpleNamespace(
            started_at=0.0, has_excuse=lambda *arguments: False
        )
        moved = ("left", "right")
        self.history = History(
            [
                Version(1, {"/moved/": frozenset(moved[:1])}, 0.0, 0.0),
                Version(
                    2,
                    {"/moved/": frozenset(moved[1:]), "/added/": frozenset(["orders"])},
                    99.9,
                    100.0,
                ),
            ]
        )
        self.exchanges: list[Exchange] = []

    def send(self, path: str, sent_at: float, service="", status=200):
        """Record a request that one service has run, or none."""
        request_id = f"id-{len(self.exchanges)}"
        exchange = Exchange(request_id, self.host, path, sent_at, sent_at + 0.1, status)
        self.exchanges.append(exchange)
        for upstream in self.upstreams:
            if upstream.service == service:
                upstream.arrivals.append((request_id, sent_at + 0.05))
                upstream.runs[request_id] += 1

    def judge(self) -> list[str]:
        """Return the names of the broken promises."""
        found = find_violations(
            self.exchanges, self.upstreams, self.faults, self.history
        )
        return [line.split()[0] for line in found]

    def clear(self):
        """Forget all requests."""
        self.exchanges.clear()
        for upstream in self.upstreams:
            upstream.arrivals.clear()
            upstream.runs.clear()

    def test_clean_record(self):
        """Guards against a judge that finds fault with what is allowed."""
        self.send(MOVED_PATH, 99.0, "left")
        self.send(ADDED_PATH, 99.0, status=404)
        self.send(MOVED_PATH, 102.9, "left")
        self.send(ADDED_PATH, 102.9, status=404)
        self.send(MOVED_PATH, 103.1, "right")
        self.send(ADDED_PATH, 103.1, "orders")
        self.send(MOVED_PATH, 104.0, status=503)
        self.assertEqual(self.judge(), [])

    def test_large_heads(self):
        """Guards against missing a refusal or a run by the limit of another version.

        Version 3 lowers the limit at 200 s. The route that it adds may be used before
        the lower limit is.
        """
        services = {
            **self.history.versions[1].services,
            ORDER_PATH: frozenset({"orders"}),
        }
        self.history.versions.append(Version(3, services, 199.9, 200.0, False))
        for sent_at, status, has_large_head, expected in (
            (150.0, 431, True, ["DENIED"]),
            (202.0, 431, True, []),
            (202.0, 431, False, ["DENIED"]),
            (203.1, 431, True, []),
            (202.0, 200, True, []),
            (203.1, 200, True, ["CONFIG"]),
            (203.1, 200, False, []),
        ):
            with self.subTest(sent_at=sent_at, status=status, large=has_large_head):
                self.clear()
                service = "right" if status == 200 else ""
                self.send(MOVED_PATH, sent_at, service, status)
                self.exchanges[0].has_large_head = has_large_head
                self.assertEqual(self.judge(), expected)
        for sent_at, expected in ((200.1, []), (203.1, ["CONFIG"])):
            with self.subTest(sent_at=sent_at):
                self.clear()
                self.send(ORDER_PATH, sent_at, "orders")
                self.exchanges[0].has_large_head = True
                self.exchanges[0].answered_id = self.exchanges[0].request_id
                self.assertEqual(self.judge(), expected)

    def test_former_service(self):
        """Guards against missing a request that the former service runs too late."""
        self.send(MOVED_PATH, 103.1, "left")
        self.assertEqual(self.judge(), ["CONFIG"])

    def test_version_before_it_was_sent(self):
        """Guards against missing a request that is run by no version."""
        self.send(MOVED_PATH, 99.0, "right")
        self.assertEqual(self.judge(), ["CONFIG"])

    def test_dropped_route(self):
        """Guards against missing a request that runs on a route that is gone."""
        without = {"/moved/": frozenset(["right"])}
        self.history.versions.append(Version(3, without, 110.0, 110.0))
        self.send(ADDED_PATH, 112.9, "orders")
        self.assertEqual(self.judge(), [])
        self.send(ADDED_PATH, 113.1, "orders")
        self.assertEqual(self.judge(), ["CONFIG"])

    def test_denied_route(self):
        """Guards against missing a 404 on a route that all versions have."""
        self.send(ADDED_PATH, 103.1, status=404)
        self.assertEqual(self.judge(), ["DENIED"])

    def test_denied_route_of_a_host_out_of_touch(self):
        """Guards against excusing a 404 that no version explains."""
        self.history.disruptions["host-za"] = [Span(103.0)]
        self.send(MOVED_PATH, 103.1, status=404)
        self.assertEqual(self.judge(), ["DENIED"])

    def test_host_or_store_out_of_touch(self):
        """Guards against blaming hosts for what they could not know, or for too long.

        A host is in touch 4 s after the end of a disruption.
        """
        for name in ("host-za", STORE):
            self.history.disruptions = {name: [Span(99.0, 101.0)]}
            self.clear()
            self.send(MOVED_PATH, 104.9, "left")
            self.send(ADDED_PATH, 104.9, status=404)
            self.assertEqual(self.judge(), [], name)
            self.send(MOVED_PATH, 105.1, "left")
            self.assertEqual(self.judge(), ["CONFIG"], name)
        self.history.disruptions = {"host-zb": [Span(99.0, 101.0)]}
        self.clear()
        self.send(MOVED_PATH, 104.9, "left")
        self.assertEqual(self.judge(), ["CONFIG"])

    def test_regression(self):
        """Guards against missing a process that goes back to an older version."""
        self.send(MOVED_PATH, 100.5, "right")
        self.send(MOVED_PATH, 100.7, "left")
        self.assertEqual(self.judge(), [], "within the slack")
        self.send(MOVED_PATH, 101.0, "left")
        self.assertEqual(self.judge(), ["CONFIG"])
        self.history.starts["host-za"] = [100.8]
        self.assertEqual(self.judge(), [], "another process")

    def test_late_arrival(self):
        """Guards against missing a request for an upstream that had long drained."""
        drain = Drain(self.upstreams[1], Span(110.0, 116.0))
        self.history.drains.append(drain)
        self.send(MOVED_PATH, 112.9, "right")
        self.send(MOVED_PATH, 116.0, "right")
        self.assertEqual(self.judge(), [])
        self.send(MOVED_PATH, 113.0, "right")
        self.assertEqual(self.judge(), ["DRAIN"])
        self.history.disruptions[STORE] = [Span(108.0, 109.5)]
        self.assertEqual(self.judge(), [], "out of touch")

    def test_drain_acknowledged_by_an_unstable_store(self):
        """Guards against judging a drain before the store has been stable.

        It binds the hosts from the contact time after the store's return on.
        """
        self.history.disruptions[STORE] = [Span(108.0, 109.9)]
        self.history.drains.append(Drain(self.upstreams[1], Span(110.0, 118.0)))
        self.send(MOVED_PATH, 114.2, "right")
        self.send(MOVED_PATH, 116.8, "right")
        self.assertEqual(self.judge(), [])
        self.send(MOVED_PATH, 117.1, "right")
        self.assertEqual(self.judge(), ["DRAIN"])

    def test_versions_of_the_soak(self):
        """Guards against versions that differ in nothing that callers see."""
        routes = [
            {route["name"]: route for route in make_configuration(each)["routes"]}
            for each in range(1, 6)
        ]
        services = [each["moved"]["backend"] for each in routes]
        self.assertEqual(services, ["right", "left", "right", "left", "right"])
        added = ["added" in each for each in routes]
        self.assertEqual(added, [False, True, True, False, False])
        limits = {
            make_configuration(each)["limits"]["max_header_bytes"]
            for each in range(1, 6)
        }
        self.assertLess(min(limits), LARGE_COOKIE_BYTES)
        self.assertGreater(max(limits), LARGE_COOKIE_BYTES)
