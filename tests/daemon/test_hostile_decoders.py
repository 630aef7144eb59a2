"""Tests of the decoders of everything that comes from outside the process."""

import json
import unittest
from datetime import timedelta
from pathlib import Path

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from celeryferry_core.addresses import MAX_PORT, is_address, split_address
from celeryferry_core.forwarding.models import Weighted
from celeryferry_core.forwarding.positions import START
from celeryferry_core.partial_answers import decode_hits
from celeryferry_daemon._internal.forwarding.connection import RawResponse
from celeryferry_daemon._internal.forwarding.follower import SourceFollower
from celeryferry_daemon._internal.forwarding.keep_alive import (
    MAX_IDLE_TIME,
    compute_max_idle_time,
)
from celeryferry_daemon._internal.forwarding.link_messages import (
    ANSWER_DECODER,
    LINK_DECODER,
    QUESTION_DECODER,
)
from celeryferry_daemon._internal.forwarding.pool import UpstreamPool
from celeryferry_daemon._internal.forwarding.ports import (
    SourceChanges,
    SourceItem,
    UpstreamListed,
    UpstreamRejected,
)
from celeryferry_daemon._internal.forwarding.state import HostState
from celeryferry_daemon._internal.owner.replies import read_health
from celeryferry_daemon.platform import wire
from celeryferry_daemon.platform.boot import decode_settings
from celeryferry_daemon.platform.entries import decode_configuration, decode_upstream
from celeryferry_daemon.platform.sources import StoreSource
from celeryferry_daemon.platform.store import (
    _RANGE_DECODER,
    _WATCH_DECODER,
    StoreClient,
    _translate_item,
)
from tests.core.forwarding_harness import make_upstream
from tests.daemon.test_forwarding_sources import RecordingLog, make_settings
from tests.daemon.test_platform import BOOT, CONFIGURATION

CORPUS = Path(__file__).parent.parent / "corpus" / "entries"
ENTRY = {
    "backend": "s0",
    "address": "127.0.0.1:9000",
    "zone": "a",
    "version": "v1",
    "capacity": 4,
    "lifecycle": "ready",
    "warmup_left_ms": 0,
    "seq": 1,
    "born": 1,
}
# Numbers as JSON text, up to 10^400, beyond what any field can hold.
NUMBERS = st.one_of(
    st.integers(-(10**400), 10**400).map(str),
    st.floats(allow_nan=False, allow_infinity=False).map(repr),
    st.sampled_from(["1e300", "-1e300", "1e400", "-1e400", "NaN", "Infinity", "-0"]),
)
NESTED = st.tuples(
    st.sampled_from(["[]", '{"a":1}']), st.sampled_from([100, 999, 5_000, 100_000])
).map(lambda drawn: _nest(*drawn))
TEXTS = st.one_of(
    st.text(max_size=20).map(json.dumps),
    st.sampled_from(['"\\ud800"', '"127.0.0.1:99999"', '"127.0.0.1:\\u00b2"', '"%s"']),
)
VALUES = st.one_of(
    NUMBERS, NESTED, TEXTS, st.sampled_from(["null", "true", "{}", "[]", "[[]]", ""])
)
BYTES = st.binary(max_size=200)
CHECKED = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)


def _nest(inner: str, depth: int) -> str:
    if inner == "[]":
        return "[" * depth + "]" * depth
    return '{"a":' * depth + "1" + "}" * depth


@st.composite
def nearly_valid(draw, document: dict) -> bytes:
    """Return a document as JSON with some values replaced, doubled or added.

    :param document: valid document.
    """
    fields = [(name, json.dumps(value)) for name, value in document.items()]
    for _ in range(draw(st.integers(1, 3))):
        index = draw(st.integers(0, len(fields)))
        name = draw(st.sampled_from([*document, "extra"]))
        value = draw(VALUES)
        if index < len(fields) and draw(st.booleans()):
            fields[index] = (fields[index][0], value)
        else:
            fields.insert(index, (name, value))
    text = "{" + ",".join(f'"{name}":{value}' for name, value in fields) + "}"
    return text.encode("utf-8", "surrogatepass")


def make_response(name: str, value: str) -> RawResponse:
    """Return a response with one header."""
    return RawResponse(200, ((name, value),), b"", True)


class TestEntryDecoders(unittest.TestCase):
    """Guards against an entry of another writer that ends the process.

    An exception instead of a typed error ends the task that follows the store. The
    values that are accepted must be usable: an out-of-range port or time fails later,
    when a connection is opened or a time is added.
    """

    def check_upstream(self, content: bytes):
        match decode_upstream("i-1", content):
            case Ok(upstream):
                _, port = split_address(upstream.address)
                self.assertTrue(0 < port <= MAX_PORT)
                self.assertGreaterEqual(upstream.slots, 1)
                _ = timedelta(days=10_000) + upstream.cold_for
                msgspec.json.encode(upstream)
            case Err(error):
                self.assertLess(len(str(error)), 1_000)

    @CHECKED
    @given(st.one_of(BYTES, nearly_valid(ENTRY)))
    def test_upstream_entry(self, content):
        self.check_upstream(content)

    def test_corpus(self):
        """Guards against the return of a case that has failed before."""
        paths = sorted(CORPUS.iterdir())
        self.assertGreater(len(paths), 10)
        for path in paths:
            with self.subTest(path.name):
                result = decode_upstream("i-1", path.read_bytes())
                self.assertIsInstance(result, Err)

    @CHECKED
    @given(st.text(max_size=30))
    def test_instance_id_cannot_end_a_header(self, instance_id):
        result = decode_upstream(instance_id, json.dumps(ENTRY).encode())
        if isinstance(result, Ok):
            self.assertTrue(all("!" <= letter <= "~" for letter in instance_id))
        for separator in ("\r\n", "\n", " ", "\x00", "\u00e9"):
            odd_id = f"i{separator}1"
            self.assertIsInstance(
                decode_upstream(odd_id, json.dumps(ENTRY).encode()), Err
            )

    @CHECKED
    @given(
        st.one_of(
            BYTES,
            nearly_valid(CONFIGURATION),
            nearly_valid(CONFIGURATION["routes"][0]).map(
                lambda route: b'{"version":1,"routes":[' + route + b"]}"
            ),
            nearly_valid({"max_header_bytes": 1, "idle_timeout_ms": 5}).map(
                lambda limits: b'{"version":1,"routes":[],"limits":' + limits + b"}"
            ),
        )
    )
    def test_configuration(self, content):
        match decode_configuration(content):
            case Ok(configuration):
                for rule in configuration.rules:
                    _ = timedelta(days=10_000) + rule.timeout + rule.target_latency
                    if isinstance(rule.target, Weighted):
                        self.assertGreater(sum(p.weight for p in rule.target.parts), 0)
                msgspec.json.encode(configuration)
            case Err(error):
                self.assertLess(len(str(error)), 1_000)

    @CHECKED
    @given(st.one_of(BYTES, nearly_valid(BOOT), nearly_valid(BOOT["parameters"])))
    def test_settings(self, content):
        match decode_settings(content):
            case Ok(settings_read):
                for address in (
                    settings_read.callers_address,
                    settings_read.store_address,
                    *settings_read.seed_addresses,
                ):
                    self.assertTrue(is_address(address))
            case Err(error):
                self.assertLess(len(str(error)), 1_000)

    @CHECKED
    @given(
        st.sampled_from(["servers/i-1", "op/config", "op/evacuate/a", "op/x", "other"]),
        st.one_of(BYTES, nearly_valid(ENTRY)),
    )
    def test_source_decodes_any_item(self, key, value):
        client = object.__new__(StoreClient)
        StoreSource(client).decode(SourceItem(key, 5, value))

    @CHECKED
    @given(
        st.one_of(
            BYTES,
            nearly_valid({"items": [], "as_of": 1, "truncated": 0}),
            nearly_valid({"key": "servers/i-1", "revision": 5, "value": "eA=="}).map(
                lambda item: b'{"as_of":1,"items":[' + item + b'],"events":[]}'
            ),
        )
    )
    def test_store_pages(self, content):
        for decoder in (_RANGE_DECODER, _WATCH_DECODER):
            match decoder.decode(content):
                case Ok(page):
                    self.assertLess(page.as_of, 2**63)
                    items = page.items if decoder is _RANGE_DECODER else page.events
                    for item in items:
                        msgspec.json.encode(_translate_item(item))
                case Err(error):
                    self.assertLess(len(str(error)), 1_000)

    @CHECKED
    @given(st.one_of(BYTES, nearly_valid({"state": "ready", "index_versions": [1]})))
    def test_answers_of_upstreams_of_the_query_daemon(self, content):
        read_health(content, False)
        self.assertIsInstance(decode_hits(content), Ok | Err)


class TestPeerDecoders(unittest.TestCase):
    """Guards against a message that ends a link's task or is taken for another."""

    HOST = ["h", "a", "127.0.0.1:1", "127.0.0.1:2", 1, 1, 1.0, 0.0, True, False]
    MESSAGES = (
        {"type": "hello", "host": HOST},
        {"type": "tick", "sources": {"store": [1, 1, True, True]}},
        {"type": "hosts", "scope": "domain", "is_whole": True, "hosts": [HOST]},
        {
            "type": "contents",
            "source": "store",
            "after": 0,
            "revision": 5,
            "items": [{"key": "k", "revision": 4, "value": "eA=="}],
            "is_confirmed": True,
        },
        {"type": "request", "source": "store", "after": 4},
        {"type": "relays", "hosts": [HOST]},
    )

    def test_known_messages(self):
        """Guards against property tests of messages that are no messages."""
        for message in self.MESSAGES:
            result = LINK_DECODER.decode(json.dumps(message).encode())
            self.assertIsInstance(result, Ok, message)

    @CHECKED
    @given(
        st.one_of(BYTES, st.sampled_from(MESSAGES).flatmap(nearly_valid)),
    )
    def test_any_message(self, content):
        for decoder in (LINK_DECODER, QUESTION_DECODER, ANSWER_DECODER):
            match decoder.decode(content):
                case Ok(message):
                    msgspec.json.encode(message)
                case Err(error):
                    self.assertLess(len(str(error)), 1_000)


class TestHeaderDecoders(unittest.TestCase):
    """Guards against a header that ends the task of an attempt or of a request."""

    @CHECKED
    @given(st.one_of(st.text(max_size=30), NUMBERS))
    def test_any_value(self, value):
        time_left = wire.read_time_left((("X-Deadline-Ms", value),))
        if time_left is not None:
            _ = timedelta(days=10_000) + time_left
        load = wire.read_load(make_response("x-server-load", value))
        self.assertTrue(load is None or load >= 0)
        idle = compute_max_idle_time(make_response("keep-alive", f"timeout={value}"))
        self.assertLessEqual(idle, MAX_IDLE_TIME)

    def test_known_values(self):
        """Guards against a check that rejects valid headers."""
        for text, expected_ms in (("600", 600), ("0", 0), ("12.5", 12.5), ("-1", -1)):
            read = wire.read_time_left((("x-deadline-ms", text),))
            self.assertEqual(read, timedelta(milliseconds=expected_ms))
        self.assertEqual(wire.read_load(make_response("x-server-load", "3, 2,8")), 5)
        for text in ("timeout=2", "max=9, Timeout = 2"):
            self.assertEqual(
                compute_max_idle_time(make_response("keep-alive", text)),
                timedelta(seconds=1.5),
            )


class TestOddItems(unittest.TestCase):
    """Guards against an odd entry that costs the host more than that entry."""

    def setUp(self):
        self.log = RecordingLog()
        self.state = HostState(
            make_settings(), None, UpstreamPool(None), self.log, timedelta(0)
        )
        self.decoded: dict[str, object] = {}
        self.name = "store"
        self.follower = SourceFollower(self, self.state, self, None, self.log)

    def monotonic(self):
        """Return the time of the clock."""
        return timedelta(seconds=100)

    def decode(self, item):
        """Return the scripted change of an item, or raise the scripted exception."""
        change = self.decoded[item.key]
        if isinstance(change, Exception):
            raise change
        return change

    def list_items(self, revision: int, *keys: str):
        """Apply a whole listing with these keys."""
        items = tuple(SourceItem(key, revision, b"x") for key in keys)
        self.follower.apply_peer_changes(START, SourceChanges(items, revision), True)

    def test_rejected_entry_is_logged_and_counted_once(self):
        upstream = make_upstream("s0", "a")
        self.decoded["odd"] = UpstreamRejected("odd", "i-odd", "reason")
        self.decoded["good"] = UpstreamListed("good", upstream)
        for revision in (1, 2, 3):
            self.list_items(revision, "odd", "good")
        self.assertEqual(len(self.state.registry), 1)
        self.assertEqual(self.log.count("item_rejected"), 1)
        self.assertEqual(self.state.rejected_count, 1)
        self.decoded["odd"] = UpstreamListed("odd", make_upstream("s1", "a"))
        self.list_items(4, "odd", "good")
        self.decoded["odd"] = UpstreamRejected("odd", "s1-a", "reason")
        self.list_items(5, "odd", "good")
        self.assertEqual(self.log.count("item_rejected"), 2)
        self.assertEqual(len(self.state.registry), 1)

    def test_unforeseen_failure_costs_one_item(self):
        """Guards against a follower that stops at an item it can't handle.

        The exception stands for a fault in the code that decodes or applies an item.
        """
        self.decoded["odd"] = ZeroDivisionError("put in by hand")
        self.decoded["good"] = UpstreamListed("good", make_upstream("s0", "a"))
        self.list_items(1, "odd", "good")
        self.assertEqual(len(self.state.registry), 1)
        self.assertEqual(self.follower.failed_item_count, 1)
        self.assertEqual(self.follower.revision, 1)
        self.assertIn("put in by hand", self.log.lines[-2][1]["reason"])
