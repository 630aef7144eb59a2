"""Exceptions of the query tier, and failures that are returned as values."""

from dataclasses import dataclass
from enum import StrEnum


class CeleryferryError(Exception):
    """Base class of all exceptions that the query tier raises."""


class PeerFailureKind(StrEnum):
    """How a call to another daemon failed."""

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad_answer"


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A call to another daemon that returned no usable answer.

    :param kind: ``not_sent`` and ``rejected`` mean that the request did not run; with
        the other kinds it may have run.
    :param detail: text for the log.
    """

    kind: PeerFailureKind
    host_id: str
    detail: str

    @property
    def did_not_run(self) -> bool:
        """Whether it is certain that the request did not run."""
        return self.kind in (PeerFailureKind.NOT_SENT, PeerFailureKind.REJECTED)


@dataclass(frozen=True, slots=True)
class FieldError:
    """One error in a service document or in the settings.

    The field names are keys of the JSON report of ``celeryferry check --json``.

    :param place: path such as ``shards[2].replicas[0].address``; empty
        if the error concerns the whole file.
    :param found: the value or condition that was found.
    :param allowed: the rule that it breaks.
    :param line: line number, counted from 1; None if it cannot be determined.
    """

    place: str
    found: str
    allowed: str
    line: int | None = None

    def __str__(self) -> str:
        parts = [f"line {self.line}"] if self.line is not None else []
        if self.place:
            parts.append(self.place)
        parts.append(f"found {self.found}; allowed: {self.allowed}")
        return ": ".join(parts)


@dataclass(frozen=True, slots=True)
class _FieldErrors:
    """All errors in one file, ordered by line number where it is known."""

    errors: tuple[FieldError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


class DocumentErrors(_FieldErrors):
    """All errors in a service document."""

    __slots__ = ()


class SettingsErrors(_FieldErrors):
    """All errors in the daemon settings; the daemon does not start with them."""

    __slots__ = ()
