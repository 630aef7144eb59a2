"""Tests of truncated upstream answers, with the owner's checks and without them."""

import unittest
from unittest import mock

import aiohttp
import msgspec

from celeryferry_core.models.outcomes import Answered, OutcomeUnknown, UnknownReason
from celeryferry_daemon._internal.owner import client, replies
from celeryferry_standins.upstream.behaviour import Behaviour, UpstreamSpec
from celeryferry_standins.upstream.server import UpstreamServer
from tests.daemon.fakes import wait_for
from tests.daemon.owner_fakes import SNAPSHOT, OwnerHarness

BAD_ANSWER = OutcomeUnknown(UnknownReason.BAD_ANSWER)
HITS = 10


async def read_without_length_check(response):
    """Read a body and ignore that it ends early."""
    chunks = []
    try:
        async for chunk in response.content.iter_any():
            chunks.append(chunk)
    except aiohttp.ClientPayloadError:
        pass
    return b"".join(chunks)


class ClosingDecoder:
    """Decoder that completes a truncated list of hits, so that its JSON is valid."""

    def decode(self, content):
        whole_hits = content[: content.rindex(b"}") + 1]
        return msgspec.json.decode(whole_hits + b"]}", type=replies._SearchBody)


class AnswersTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a stand-in upstream and an owner."""

    async def asyncSetUp(self):
        behaviour = Behaviour(index_versions=[SNAPSHOT], hits=HITS)
        self.upstream = UpstreamServer(UpstreamSpec("one", behaviour=behaviour))
        address = await self.upstream.open()
        self.addAsyncCleanup(self.upstream.close)
        self.harness = OwnerHarness()
        await self.harness.start(address)
        self.addAsyncCleanup(self.harness.stop)
        await wait_for(lambda: self.harness.observe().index_versions)

    def replace_check(self, target, name, replacement):
        """Replace a check until the test ends."""
        patched = mock.patch.object(target, name, replacement)
        patched.start()
        self.addCleanup(patched.stop)


class TestTruncatedAnswers(AnswersTestCase):
    """Guards against delivering some of the hits as the whole answer.

    An upstream closes the connection in the middle of its answer. The owner checks the
    length of the body and the JSON in it; each check suffices without the other.
    """

    async def search(self):
        self.upstream.engine.apply({"misbehaviour": "truncated"})
        outcome = await self.harness.search_single()
        self.assertEqual(self.upstream.engine.counters.executed, 1)
        return outcome

    async def test_refused_with_both_checks(self):
        self.assertEqual(await self.search(), BAD_ANSWER)

    async def test_refused_without_the_check_of_the_length(self):
        self.replace_check(client, "read_bounded", read_without_length_check)
        self.assertEqual(await self.search(), BAD_ANSWER)

    async def test_refused_without_the_check_of_the_form(self):
        self.replace_check(replies, "_SEARCH_DECODER", ClosingDecoder())
        self.assertEqual(await self.search(), BAD_ANSWER)

    async def test_delivered_in_part_without_both_checks(self):
        self.replace_check(client, "read_bounded", read_without_length_check)
        self.replace_check(replies, "_SEARCH_DECODER", ClosingDecoder())
        outcome = await self.search()
        self.assertIsInstance(outcome, Answered)
        hits = msgspec.json.decode(outcome.hits)
        self.assertTrue(0 < len(hits) < HITS)


if __name__ == "__main__":
    unittest.main()
