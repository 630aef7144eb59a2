"""Tests of the outcome that is derived from the reply to a run request."""

import unittest

from result import Err, Ok

from celeryferry_core.exceptions import PeerFailure, PeerFailureKind
from celeryferry_core.models.messages import RunReply
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    UnknownReason,
)
from celeryferry_daemon._internal.tickets.replies import read_reply
from tests.daemon.ticket_fakes import RUN_ANSWERED

NOTHING_RAN = NotRun(NotRunReason.UNREACHABLE)


class TestReadReply(unittest.TestCase):
    """Guards against a wrong outcome of a run request.

    The reply can name another ticket, and a call can fail after the other daemon has
    run the request; a retry after a false "not run" would run it twice.
    """

    def test_a_reply_to_another_ticket_is_not_taken(self):
        self.assertEqual(
            read_reply(Ok(RunReply("t-1", RUN_ANSWERED)), "t-1", NOTHING_RAN),
            RUN_ANSWERED,
        )
        outcome = read_reply(Ok(RunReply("t-2", RUN_ANSWERED)), "t-1", NOTHING_RAN)
        self.assertEqual(outcome, OutcomeUnknown(UnknownReason.BAD_ANSWER))

    def test_only_a_failure_that_did_not_run_is_not_run(self):
        for kind in PeerFailureKind:
            failure = PeerFailure(kind, "host-1", "test")
            outcome = read_reply(Err(failure), "t-1", NOTHING_RAN)
            expected = NotRun if failure.did_not_run else OutcomeUnknown
            self.assertIsInstance(outcome, expected, kind)
