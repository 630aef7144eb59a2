"""Tests of the adapter to the users' platform."""

import asyncio
import base64
import json
import unittest
from datetime import timedelta

import msgspec
from aiohttp import web

from celeryferry_core.forwarding.models import Sharded, Weighted
from celeryferry_core.forwarding.notices import UpstreamNotice
from celeryferry_core.forwarding.outcomes import (
    Failed,
    LossReason,
    Lost,
    Merged,
    NotRunResult,
    RefusalReason,
    Refused,
    Relayed,
    Succeeded,
    UnknownResult,
    UpstreamResponse,
)
from celeryferry_core.forwarding.processes import (
    Cold,
    OtherInstance,
    Undecided,
    Unstated,
    Warm,
)
from celeryferry_daemon._internal.clock import SystemClock
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.follower import MIN_RETRY_DELAY
from celeryferry_daemon._internal.forwarding.messages import CallerRequest
from celeryferry_daemon._internal.forwarding.ports import (
    HistoryGoneError,
    SourceUnavailableError,
)
from celeryferry_daemon.platform import wire
from celeryferry_daemon.platform.boot import decode_settings
from celeryferry_daemon.platform.entries import decode_configuration, decode_upstream
from celeryferry_daemon.platform.store import StoreClient
from tests.core.forwarding_harness import make_upstream

BOOT = {
    "node_name": "edge-1",
    "zone": "a",
    "bind_addrs": {
        "http": "127.0.0.1:1",
        "readiness": "127.0.0.1:2",
        "admin": "127.0.0.1:3",
        "directory": "127.0.0.1:4",
    },
    "seed_nodes": ["127.0.0.1:3"],
    "platform": {"address": "127.0.0.1:9"},
    "parameters": {"retry_ratio": 0.1, "grace_s": 7, "unknown": 1},
    "unknown": True,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/x/",
            "type": "idempotent",
            "timeout_ms": 400,
            "target_latency_ms": 71,
            "priority": 2,
            "gather": ["s0", "s1"],
            "attempts": 2,
            "top_k": 5,
            "min_shard_ratio": 0.75,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "path_prefix": "/y/",
            "type": "non_idempotent",
            "timeout_ms": 4001,
            "backend": "orders",
        },
        {
            "name": "r-3",
            "host": "a.example",
            "path_prefix": "/z/",
            "type": "idempotent",
            "traffic_split": [
                {"backend": "orders", "weight": 1},
                {"backend": "others", "weight": 3},
            ],
        },
    ],
    "backends": [{"name": "orders", "max_conns": 77, "warmup_per_s": 2.0}],
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000},
}
SERVER = {
    "backend": "orders",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "capacity": 4,
    "lifecycle": "ready",
    "warmup_left_ms": 1500,
    "seq": 4,
}


def encode(value) -> bytes:
    """Return the value encoded as JSON."""
    return json.dumps(value).encode()


def respond(status: int = 200, body: bytes = b"x", **headers: str) -> RawResponse:
    """Return a response of an upstream.

    :param headers: headers; underscores in the names stand for hyphens.
    """
    listed = tuple((k.replace("_", "-"), v) for k, v in headers.items())
    return RawResponse(status, listed, body, True)


class TestSettings(unittest.TestCase):
    """Guards against a settings file that is decoded wrongly or only in part."""

    def test_settings_are_translated(self):
        """Guards against ignoring a value in the settings file."""
        settings = decode_settings(encode(BOOT)).unwrap()
        self.assertEqual(settings.host_id, "edge-1")
        self.assertEqual(settings.extra_ratio, 0.1)
        self.assertEqual(settings.stop_time, timedelta(seconds=7))

    def test_missing_field_is_named(self):
        """Guards against starting with incomplete settings."""
        broken = {k: v for k, v in BOOT.items() if k != "zone"}
        self.assertIn("zone", str(decode_settings(encode(broken)).unwrap_err()))


class TestEntries(unittest.TestCase):
    """Guards against wrong routing because an entry of the store is misread."""

    def test_routes_are_translated(self):
        """Guards against sending requests to the wrong services."""
        decoded = decode_configuration(encode(CONFIGURATION)).unwrap()
        sharded, single, split = decoded.rules
        self.assertEqual(sharded.target, Sharded(("s0", "s1"), 5, 0.75))
        self.assertTrue(sharded.is_repeatable)
        self.assertFalse(single.is_repeatable)
        self.assertEqual(single.max_attempts, 1)
        self.assertIsInstance(split.target, Weighted)
        self.assertEqual([part.weight for part in split.target.parts], [1, 3])
        self.assertEqual(decoded.services["orders"].cold_requests_per_s, 2.0)

    def test_request_of_unknown_type_is_not_repeated(self):
        """Guards against repeating requests of an unknown type."""
        routes = [dict(CONFIGURATION["routes"][1], type="newer")]
        decoded = decode_configuration(encode(dict(CONFIGURATION, routes=routes)))
        self.assertFalse(decoded.unwrap().rules[0].is_repeatable)

    def test_route_without_service_is_rejected(self):
        """Guards against applying a configuration that is valid only in part."""
        routes = [{"name": "r", "host": "h", "path_prefix": "/"}]
        decoded = decode_configuration(encode(dict(CONFIGURATION, routes=routes)))
        self.assertIn("r", str(decoded.unwrap_err()))

    def test_upstream_is_translated(self):
        """Guards against missing a drain or a cold start."""
        entry = dict(SERVER, lifecycle="draining", born=17)
        upstream = decode_upstream("i-1", encode(entry)).unwrap()
        self.assertTrue(upstream.is_draining)
        self.assertEqual(upstream.cold_for, timedelta(seconds=1.5))
        self.assertEqual(upstream.started_ms, 17)

    def test_invalid_upstream_entries_are_rejected(self):
        """Guards against using an entry that is not in the format of an upstream."""
        wrong = [
            b"\xff",
            encode([]),
            encode({k: v for k, v in SERVER.items() if k != "zone"}),
            encode(dict(SERVER, capacity="4")),
            encode(dict(SERVER, lifecycle="sleeping")),
            encode(dict(SERVER, address="nowhere")),
        ]
        for value in wrong:
            self.assertTrue(decode_upstream("i-1", value).is_err(), value)


class TestUpstreamMessages(unittest.TestCase):
    """Guards against altered requests and misread responses.

    A misread response can repeat a request that ran, or give a caller the response to
    another request.
    """

    def setUp(self):
        headers = (
            ("Host", "a.example"),
            ("X-Request-Id", "id-1"),
            ("X-Deadline-Ms", "800"),
            ("Connection", "keep-alive, X-Hop"),
            ("X-Hop", "1"),
            ("X-Other", "kept"),
        )
        self.request = CallerRequest("id-1", "GET", "/x/?q=%41", headers, b"")

    def test_request_is_passed_on_unchanged_but_for_its_own_headers(self):
        """Guards against changed targets, lost headers and outdated deadlines."""
        upstream = make_upstream("s0", "a")
        time_left = timedelta(milliseconds=450.9)
        payload = wire.make_payload(self.request, upstream, time_left).decode()
        head = payload.split("\r\n")
        self.assertEqual(head[0], "GET /x/?q=%41 HTTP/1.1")
        self.assertIn("X-Request-Id: id-1", head)
        self.assertIn("X-Other: kept", head)
        self.assertIn("X-Deadline-Ms: 450", head)
        self.assertIn("X-Expect-Instance: s0-a", head)
        self.assertNotIn("X-Hop", payload)
        self.assertEqual(payload.count("X-Deadline-Ms"), 1)

    def test_nothing_is_sent_without_time_left(self):
        """Guards against sending work that can't be answered in time."""
        upstream = make_upstream("s0", "a")
        self.assertIsNone(wire.make_payload(self.request, upstream, timedelta(0)))

    def test_response_to_another_request_is_recognised(self):
        """Guards against giving a late response to another caller."""
        self.assertFalse(
            wire.is_matching_response(self.request, respond(x_request_id="id-0"))
        )
        self.assertTrue(
            wire.is_matching_response(self.request, respond(x_request_id="id-1"))
        )

    def test_refusals_are_distinguished_from_failures(self):
        """Guards against treating a request that ran as not run, and repeating it."""
        classify = wire.classify_response
        refused = classify(respond(503, x_not_executed="1"))
        self.assertEqual(refused, Refused(RefusalReason.UPSTREAM_REFUSED))
        self.assertIsInstance(classify(respond(421)), Refused)
        self.assertIsInstance(classify(respond(503, x_server_stamp="s")), Failed)
        self.assertIsInstance(classify(respond(200, x_server_stamp="s")), Succeeded)

    def test_success_without_stamp_is_a_bad_response(self):
        """Guards against passing on a success without the stamp of an upstream."""
        lost = Lost(LossReason.BAD_RESPONSE)
        self.assertEqual(wire.classify_response(respond(200)), lost)
        encoded = respond(200, x_server_stamp="s", content_encoding="gzip")
        self.assertEqual(wire.classify_response(encoded), lost)

    def test_what_an_upstream_says_of_itself_is_read(self):
        """Guards against missing that an upstream leaves or wants a pause."""

        def read(status, *headers):
            return wire.read_notice(RawResponse(status, headers, b"", True))

        self.assertIsNone(read(200))
        leaving = ("server-leaving", "1")
        for status in (200, 404, 500, 503):
            self.assertEqual(read(status, leaving), UpstreamNotice(True))
        self.assertIsNone(read(200, ("server-leaving", "0")))
        self.assertIsNone(read(421, leaving), "another instance at the address")
        pause = read(503, ("retry-after", "1.25"), leaving)
        self.assertEqual(pause, UpstreamNotice(True, timedelta(seconds=1.25)))
        self.assertIsNone(read(429, ("retry-after", "1")))
        for odd in ("-1", "inf", "nan", "1e9", "", "9" * 40, "Wed, 21 Oct 2026"):
            notice = read(503, ("retry-after", odd))
            self.assertEqual(notice, UpstreamNotice(is_invalid=True), odd)

    def test_load_is_read(self):
        """Guards against a failed attempt because of an invalid load header."""
        self.assertEqual(wire.read_load(respond(x_server_load="3,2,8")), 5)
        self.assertIsNone(wire.read_load(respond(x_server_load="busy")))


class TestHealthMessages(unittest.TestCase):
    """Guards against misreading whether an upstream is cold.

    One that is taken for warm gets the full load and falls over.
    """

    UPSTREAM = make_upstream("s0", "a")

    def read(self, status: int, *headers: tuple[str, str]):
        """Return what a response to the health check says."""
        response = RawResponse(status, headers, b"", True)
        return wire.read_health(self.UPSTREAM, response)

    def test_request_names_path_and_host_only(self):
        """Guards against a health check with the headers of a caller's request."""
        request = wire.make_health_request(self.UPSTREAM, "/healthz")
        self.assertEqual(
            request, b"GET /healthz HTTP/1.1\r\nHost: 127.0.0.1:9000\r\n\r\n"
        )

    def test_time_left_is_read(self):
        """Guards against a cold upstream that counts as warm."""
        own_id = ("x-instance-id", "s0-a")
        for status in (200, 503):
            cold = self.read(status, own_id, ("x-warmup-ms", "1500"))
            self.assertEqual(cold, Cold(timedelta(seconds=1.5)))
            self.assertEqual(self.read(status, own_id), Warm())
            self.assertEqual(self.read(status, own_id, ("x-warmup-ms", "0")), Warm())

    def test_refusal_and_another_instance_say_nothing(self):
        """Guards against a full upstream, or another one, that counts as warm."""
        self.assertEqual(self.read(503, ("x-not-executed", "1")), Undecided())
        self.assertEqual(self.read(200, ("x-instance-id", "s0-b")), OtherInstance())

    def test_anything_else_states_nothing(self):
        """Guards against reading warmth from an unknown answer."""
        self.assertEqual(self.read(404), Unstated())
        for stated in ("", "-1", "nan", "1e9", "9" * 12):
            with self.subTest(stated):
                self.assertEqual(self.read(200, ("x-warmup-ms", stated)), Unstated())

    def test_health_path_of_the_configuration(self):
        """Guards against a path that ends the request line or the configuration."""
        for stated, expected in (
            ("/healthz", "/healthz"),
            (None, ""),
            ("healthz", ""),
            ("/a b", ""),
            ("/a\r\nX: y", ""),
        ):
            document = {
                "version": 1,
                "routes": [],
                "backends": [{"name": "s0", "health_check": stated}],
            }
            decoded = decode_configuration(msgspec.json.encode(document)).unwrap()
            with self.subTest(stated):
                self.assertEqual(decoded.services["s0"].health_path, expected)


class TestCallerMessages(unittest.TestCase):
    """Guards against telling a caller something wrong about its request.

    A caller repeats a request if the status says that it was not run.
    """

    def test_not_run_statuses_are_used_only_for_requests_not_run(self):
        """Guards against a status that means "not run" if the request may have run."""
        refusal = NotRunResult(RefusalReason.OVERLOADED, timedelta(milliseconds=250))
        answer = wire.make_response(refusal)
        self.assertEqual(answer.status, 503)
        self.assertEqual(dict(answer.headers)["Retry-After"], "0.250")
        for reason in LossReason:
            status = wire.make_response(UnknownResult(reason)).status
            self.assertIn(status, (502, 504))
        ran = Relayed(UpstreamResponse(503, (("x-server-stamp", "s"),), b"", "s"))
        self.assertEqual(wire.make_response(ran).status, 502)
        self.assertEqual(wire.make_response(ran).headers, ())

    def test_merged_response_lists_stamps_and_missing_shards(self):
        """Guards against a merged response that hides its missing shards."""
        answer = wire.make_response(Merged(("s-1", "s-2"), 1, b"records"))
        headers = dict(answer.headers)
        self.assertEqual(headers["X-Part-Stamps"], "s-1, s-2")
        self.assertEqual(headers["X-Missing-Parts"], "1")


# Only limits the time of a test. On the platform it is a few seconds.
CONTACT_TIME = timedelta(seconds=2)
# Response time of the store while it is slow, according to the platform's
# documentation.
SLOW_RESPONSE_TIME = timedelta(milliseconds=240)


class TestStoreClient(unittest.IsolatedAsyncioTestCase):
    """Guards against missing changes of the store. Runs against a small stand-in.

    Changes are missed if pages are skipped, if a watch stops answering without being
    noticed, or if the store has dropped the changes that the host has not read yet.
    """

    async def asyncSetUp(self):
        self.answers: list[web.Response] = []
        self.queries: list[dict[str, str]] = []
        app = web.Application()
        app.router.add_get("/{call}", self._answer)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        ip, port = self.runner.addresses[0][:2]
        self.client = StoreClient(f"{ip}:{port}", CONTACT_TIME)

    async def asyncTearDown(self):
        await self.client.close()
        await self.runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        self.queries.append(dict(request.query))
        if not self.answers:
            # The stand-in neither answers nor closes the connection.
            await asyncio.Event().wait()
        return self.answers.pop(0)

    async def test_all_pages_are_read(self):
        """Guards against missing the upstreams on later pages."""
        for key, is_truncated in (("servers/a", True), ("servers/b", False)):
            value = base64.b64encode(b"v").decode()
            item = {"key": key, "value": value, "revision": 5}
            page = {"items": [item], "truncated": is_truncated, "as_of": 9}
            self.answers.append(web.json_response(page))
        changes = (await self.client.read_all("servers/", False)).unwrap()
        self.assertEqual(
            [item.key for item in changes.items], ["servers/a", "servers/b"]
        )
        self.assertEqual(self.queries[1]["after"], "servers/a")
        self.assertEqual(changes.revision, 9)
        self.assertNotIn("serializable", self.queries[0])

    async def test_listing_is_as_old_as_its_oldest_page(self):
        """Guards against a drain that a host never sees.

        The first page of a stale read is current and a later one is older. A watch from
        the revision of the first page skips what has changed on the later one.
        """
        for as_of, is_truncated in ((9, True), (4, True), (6, False)):
            page = {"items": [{"key": "k"}], "truncated": is_truncated, "as_of": as_of}
            self.answers.append(web.json_response(page))
        changes = (await self.client.read_all("", True)).unwrap()
        self.assertEqual(changes.revision, 4)

    async def test_stale_read_is_asked_for_on_every_page(self):
        """Guards against the full price of each read when all hosts start together."""
        for is_truncated in (True, False):
            page = {"items": [{"key": "k"}], "truncated": is_truncated, "as_of": 9}
            self.answers.append(web.json_response(page))
        (await self.client.read_all("", True)).unwrap()
        self.assertEqual([q["serializable"] for q in self.queries], ["1", "1"])

    async def test_removals_are_distinguished_from_writes(self):
        """Guards against using an entry after its removal."""
        event = {"key": "servers/a", "revision": 6, "deleted": True}
        self.answers.append(web.json_response({"events": [event], "as_of": 6}))
        changes = (await self.client.watch("servers/", 5)).unwrap()
        self.assertIsNone(changes.items[0].value)

    async def test_silent_watch_times_out_within_the_contact_time(self):
        """Guards against an outdated configuration after a failure of the store."""
        clock = SystemClock()
        started = clock.monotonic()
        lost = (await self.client.watch("", 5)).unwrap_err()
        self.assertLess(clock.monotonic() - started, CONTACT_TIME)
        self.assertIsInstance(lost, SourceUnavailableError)
        wait_ms = int(self.queries[0]["wait_ms"])
        self.assertEqual(timedelta(milliseconds=wait_ms), self.client.watch_wait)

    async def test_state_is_read_again_within_the_contact_time(self):
        """Guards against a watch so long that the state is read again too late."""
        contact_time = timedelta(seconds=4)
        client = StoreClient("127.0.0.1:1", contact_time)
        await client.close()
        # One call finds that the history is gone, the next one reads all items.
        answers = 2 * SLOW_RESPONSE_TIME
        retry_delay = 2 * MIN_RETRY_DELAY
        known_after = client.watch_timeout + retry_delay + answers
        self.assertLess(known_after, contact_time)
        self.assertGreater(client.watch_timeout - client.watch_wait, SLOW_RESPONSE_TIME)

    async def test_lost_history_is_distinguished_from_an_outage(self):
        """Guards against missing changes after the store has dropped its history."""
        self.answers += [web.Response(status=410), web.Response(status=503)]
        gone = (await self.client.watch("servers/", 5)).unwrap_err()
        self.assertIsInstance(gone, HistoryGoneError)
        lost = (await self.client.watch("servers/", 5)).unwrap_err()
        self.assertNotIsInstance(lost, HistoryGoneError)
