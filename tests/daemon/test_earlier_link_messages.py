"""Tests of messages from hosts of an earlier version, which know no eras."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from celeryferry_core.forwarding.positions import START, Position
from celeryferry_core.forwarding.reading import Availability
from celeryferry_daemon._internal.forwarding.link_messages import LINK_DECODER
from celeryferry_daemon._internal.forwarding.ports import SourceItem
from tests.daemon.test_hostile_decoders import CHECKED, nearly_valid

CONTENTS = {
    "type": "contents",
    "source": "upstreams",
    "after": 4,
    "revision": 5,
    "items": [{"key": "k", "revision": 5, "value": "eA=="}],
    "is_confirmed": True,
}
REQUEST = {"type": "request", "source": "upstreams", "after": 4}
STATUS = (5, 6, True, True)
# Fields of a status that follow those of the earlier version.
LATER_STATUS_FIELDS = (2, 3, False, True)
REVISIONS = st.integers(0, 2**63 - 1)


def decode(message: dict):
    """Return the result for a message as JSON."""
    return LINK_DECODER.decode(json.dumps(message).encode())


def decode_status(*values):
    """Return the status that a tick with these values states."""
    tick = {"type": "tick", "sources": {"upstreams": list(values)}}
    return decode(tick).unwrap().sources["upstreams"]


class TestEarlierLinkMessages(unittest.TestCase):
    """Guards against hosts that can't follow each other while they are replaced.

    A message that can't be decoded ends the link to the host of the other version.
    """

    @CHECKED
    @given(REVISIONS, REVISIONS, st.booleans(), st.booleans())
    def test_status(self, revision, heard_revision, reads_it, is_available):
        """Guards against a peer that is behind all eras, or counts as undecided.

        An earlier host that can't read the source says so by ``is_available`` alone.
        """
        status = decode_status(revision, heard_revision, reads_it, is_available)
        self.assertEqual(status.position, Position(0, revision))
        self.assertEqual(status.heard_position, Position(0, heard_revision))
        self.assertIs(status.is_availability_known, True)
        self.assertIs(status.is_read_in_domain, False)
        expected = Availability.AVAILABLE if is_available else Availability.LOST
        self.assertIs(status.availability, expected)

    def test_status_with_some_of_the_later_fields(self):
        """Guards against a version in between that ends the link."""
        for count in range(len(LATER_STATUS_FIELDS) + 1):
            status = decode_status(*STATUS, *LATER_STATUS_FIELDS[:count])
            self.assertEqual(status.era, 2 if count >= 1 else 0)
            self.assertEqual(status.heard_era, 3 if count >= 2 else 0)
            self.assertIs(status.is_availability_known, count < 3)
            self.assertIs(status.is_read_in_domain, count >= 4)

    def test_status_of_a_later_version(self):
        """Guards against a link that ends if a later version states more."""
        status = decode_status(*STATUS, *LATER_STATUS_FIELDS, 7, "more")
        self.assertEqual(status.position, Position(2, 5))

    def test_contents(self):
        """Guards against changes that are ignored, as they name no era."""
        update = decode(CONTENTS).unwrap()
        self.assertEqual(update.position, Position(0, 5))
        self.assertEqual(update.after_position, Position(0, 4))
        self.assertFalse(update.is_exact)
        self.assertEqual(update.items, (SourceItem("k", 5, b"x"),))
        whole = decode(CONTENTS | {"after": 0}).unwrap()
        self.assertEqual(whole.after_position, START)

    def test_request(self):
        """Guards against a request that is not answered, as it names no era."""
        request = decode(REQUEST).unwrap()
        self.assertEqual((request.era, request.after), (0, 4))

    def test_eras_that_cannot_be_compared_are_an_error(self):
        """Guards against an era that no later one could follow, or of no number."""
        for era in (-1, 2**63, 1.5, "1", None, True):
            for message in (
                CONTENTS | {"era": era},
                CONTENTS | {"after_era": era},
                REQUEST | {"era": era},
                {"type": "tick", "sources": {"upstreams": [*STATUS, era]}},
                {"type": "tick", "sources": {"upstreams": [*STATUS, 0, era]}},
            ):
                self.assertIsInstance(decode(message), Err, message)

    @CHECKED
    @given(
        st.one_of(
            nearly_valid(CONTENTS | {"is_exact": True, "era": 2, "after_era": 1}),
            nearly_valid(REQUEST | {"era": 2}),
        )
    )
    def test_any_era(self, content):
        """Guards against an odd era that ends the task of a link."""
        match LINK_DECODER.decode(content):
            case Ok(message):
                self.assertGreaterEqual(getattr(message, "era", 0), 0)
                self.assertLess(getattr(message, "era", 0), 2**63)
            case Err(error):
                self.assertLess(len(str(error)), 1_000)


if __name__ == "__main__":
    unittest.main()
