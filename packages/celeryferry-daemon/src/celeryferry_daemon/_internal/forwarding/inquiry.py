"""What the pool needs to ask an upstream whether it is cold."""

from typing import Protocol

from celeryferry_core.forwarding.models import Upstream
from celeryferry_core.forwarding.processes import DoubtCause
from celeryferry_daemon._internal.forwarding.connection import RawResponse


class Inquiry(Protocol):
    """Questions to upstreams and what their answers mean."""

    def record_question(self, upstream: Upstream, cause: DoubtCause) -> None:
        """Record that an upstream is asked, and why its process is not known."""

    def may_ask(self, upstream: Upstream) -> bool:
        """Return whether an upstream may get a question now."""

    def is_askable(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes questions at all."""

    def make_question(self, upstream: Upstream) -> bytes:
        """Return the encoded question for an upstream that takes questions."""

    def record_answer(self, upstream: Upstream, response: RawResponse) -> bool:
        """Record the answer of an upstream; returns whether it settles the question."""

    def record_unanswerable(self, upstream: Upstream) -> None:
        """Record that a new connection reaches an upstream that takes no question."""


class TrustingInquiry:
    """Takes each process for the known one."""

    def record_question(self, upstream: Upstream, cause: DoubtCause) -> None:
        """Do nothing."""

    def may_ask(self, upstream: Upstream) -> bool:
        """Return True."""
        return True

    def is_askable(self, upstream: Upstream) -> bool:
        """Return False."""
        return False

    def make_question(self, upstream: Upstream) -> bytes:
        """Return nothing to send."""
        return b""

    def record_answer(self, upstream: Upstream, response: RawResponse) -> bool:
        """Return True."""
        return True

    def record_unanswerable(self, upstream: Upstream) -> None:
        """Do nothing."""
