"""Decoding of the answers of upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from celeryferry_core.limits import LimitCause
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import (
    Answered,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunAnswered,
    RunOutcome,
    SearchOutcome,
    UnknownReason,
    UpstreamState,
)

SERVICE_UNAVAILABLE = 503
CONFLICT = 409


class Signal(Enum):
    """What the end of a request says about the health of the upstream."""

    NONE = "none"
    REFUSED = "refused"
    LOST = "lost"
    UNREACHABLE = "unreachable"


_REFUSALS = {
    "cold": (NotRunReason.COLD, LimitCause.COLD),
    "draining": (NotRunReason.DRAINING, LimitCause.DRAINING),
    "shedding": (NotRunReason.SHEDDING, LimitCause.SHEDDING),
    "deadline": (NotRunReason.DEADLINE, None),
}
_STATES = {
    "ready": UpstreamState.READY,
    "cold": UpstreamState.COLD,
    "draining": UpstreamState.DRAINING,
}


class _SearchBody(msgspec.Struct):
    request_id: str
    shard: str
    index_version: int
    hits: msgspec.Raw


class _RunBody(msgspec.Struct):
    request_id: str
    result: msgspec.Raw


class _RefusalBody(msgspec.Struct):
    request_id: str
    refused: str
    index_versions: tuple[int, ...] = ()


class _HealthBody(msgspec.Struct):
    state: str
    index_versions: tuple[int, ...] = ()


_SEARCH_DECODER = msgspec.json.Decoder(_SearchBody)
_RUN_DECODER = msgspec.json.Decoder(_RunBody)
_REFUSAL_DECODER = msgspec.json.Decoder(_RefusalBody)
_HEALTH_DECODER = msgspec.json.Decoder(_HealthBody)


@dataclass(frozen=True, slots=True)
class Expectation:
    """What an answer has to match.

    :param request_id: id that was sent.
    :param shard: requested shard, None for a run request.
    :param index_version: requested index version.
    """

    request_id: str
    shard: str | None = None
    index_version: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """Result of one request to an upstream.

    :param outcome: outcome to report.
    :param signal: what the result says about the health of the upstream.
    :param cause: cause of a refusal that lowers the limit, otherwise None.
    :param state: state from the header of the answer, None if absent.
    :param index_versions: versions that the answer names, None if absent.
    """

    outcome: SearchOutcome | RunOutcome
    signal: Signal = Signal.NONE
    cause: LimitCause | None = None
    state: UpstreamState | None = None
    index_versions: tuple[int, ...] | None = None

    @property
    def is_bad_answer(self) -> bool:
        """Whether the answer shows that the connection cannot be trusted."""
        outcome = self.outcome
        return (
            type(outcome) is OutcomeUnknown
            and outcome.reason is UnknownReason.BAD_ANSWER
        )


@dataclass(frozen=True, slots=True)
class Health:
    """Answer to a health poll.

    :param state: state of the upstream.
    :param index_versions: index versions that the upstream holds.
    :param is_restarted: whether the upstream closed the connection since the last poll
        without announcing it.
    """

    state: UpstreamState
    index_versions: tuple[int, ...]
    is_restarted: bool = False


UNREACHABLE = Reply(NotRun(NotRunReason.UNREACHABLE), Signal.UNREACHABLE)
LOST = Reply(OutcomeUnknown(UnknownReason.CONNECTION_LOST), Signal.LOST)
BAD_ANSWER = Reply(OutcomeUnknown(UnknownReason.BAD_ANSWER))


class AnswerReader:
    """Decodes the answers of one upstream and checks them against the requests.

    :param mechanisms: protections that are active; tests turn off some of them.
    """

    __slots__ = ("_mechanisms", "_versions", "_versions_header")

    def __init__(self, mechanisms: Mechanisms) -> None:
        self._mechanisms = mechanisms
        self._versions_header = ""
        self._versions: tuple[int, ...] = ()

    def read(
        self,
        status: int,
        headers: Mapping[str, str],
        content: bytes,
        expected: Expectation,
    ) -> Reply:
        """Decode an answer and compare it with the request.

        :param headers: HTTP headers, case-insensitive.
        :param content: whole body.
        :param expected: what the answer has to match.
        :returns: outcome, and what the answer says about the upstream; ``BAD_ANSWER``
            if the body is malformed or belongs to another request.
        """
        try:
            return self._read(status, headers, content, expected)
        except (ValueError, RecursionError):
            return BAD_ANSWER

    def _read(
        self,
        status: int,
        headers: Mapping[str, str],
        content: bytes,
        expected: Expectation,
    ) -> Reply:
        match status:
            case 200 if expected.shard is None:
                outcome = self._match_run(_RUN_DECODER.decode(content), expected)
            case 200:
                outcome = self._match_search(_SEARCH_DECODER.decode(content), expected)
            case 503 | 409:
                return self._read_refusal(status, headers, content, expected)
            case _:
                outcome = BAD_ANSWER.outcome
        return Reply(
            outcome,
            state=_STATES.get(headers.get("X-Upstream-State", "")),
            index_versions=self._parse_versions(headers),
        )

    def _match_search(
        self, answer: _SearchBody, expected: Expectation
    ) -> SearchOutcome:
        is_other_request = self._mechanisms.answer_match and (
            answer.request_id != expected.request_id or answer.shard != expected.shard
        )
        is_other_version = (
            self._mechanisms.snapshot_check
            and answer.index_version != expected.index_version
        )
        is_array = memoryview(answer.hits)[:1] == b"["
        if is_other_request or is_other_version or not is_array:
            return BAD_ANSWER.outcome
        return Answered(answer.index_version, _remove_line_breaks(answer.hits))

    def _match_run(self, answer: _RunBody, expected: Expectation) -> RunOutcome:
        if self._mechanisms.answer_match and answer.request_id != expected.request_id:
            return BAD_ANSWER.outcome
        return RunAnswered(_remove_line_breaks(answer.result))

    def _read_refusal(
        self,
        status: int,
        headers: Mapping[str, str],
        content: bytes,
        expected: Expectation,
    ) -> Reply:
        answer = _REFUSAL_DECODER.decode(content)
        if answer.request_id != expected.request_id:
            return BAD_ANSWER
        if status == CONFLICT and answer.refused == "version_gone":
            versions = answer.index_versions
            outcome = NotRun(NotRunReason.VERSION_GONE, index_versions=versions)
            return Reply(outcome, index_versions=versions)
        refusal = _REFUSALS.get(answer.refused)
        if status != SERVICE_UNAVAILABLE or refusal is None:
            return BAD_ANSWER
        reason, cause = refusal
        signal = Signal.REFUSED if cause else Signal.NONE
        return Reply(
            NotRun(reason), signal, cause, index_versions=self._parse_versions(headers)
        )

    def _parse_versions(self, headers: Mapping[str, str]) -> tuple[int, ...] | None:
        header = headers.get("X-Index-Versions")
        if header is None:
            return None
        if header != self._versions_header:
            try:
                versions = tuple(int(number) for number in header.split(",") if number)
            except ValueError:
                return None
            self._versions_header = header
            self._versions = versions
        return self._versions


def _remove_line_breaks(raw: msgspec.Raw) -> msgspec.Raw:
    """Replace line breaks by spaces; a line break ends a message to the front.

    In JSON, line breaks can only be white space between tokens. The result is a copy,
    so the buffer of the whole answer can be freed.

    :param raw: JSON value.
    """
    content = bytes(raw)
    if b"\n" in content or b"\r" in content:
        content = content.replace(b"\n", b" ").replace(b"\r", b" ")
    return msgspec.Raw(content)


def read_health(content: bytes, is_restarted: bool) -> Health | None:
    """Decode the answer to a health poll.

    :param content: whole body.
    :param is_restarted: whether the connection was closed by a restart.
    :returns: the answer, None if it is malformed or its state is unknown.
    """
    try:
        body = _HEALTH_DECODER.decode(content)
    except (ValueError, RecursionError):
        return None
    state = _STATES.get(body.state)
    return state and Health(state, body.index_versions, is_restarted)
