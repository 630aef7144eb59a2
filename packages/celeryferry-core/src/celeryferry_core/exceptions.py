"""Every failure type of the query tier; each message says what to do."""

from dataclasses import dataclass
from enum import StrEnum


class CeleryferryError(Exception):
    """Base of all exceptions that are raised."""


class PeerFailureKind(StrEnum):
    """How far a failed call to another daemon got."""

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    BAD_ANSWER = "bad_answer"


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A call to another daemon that brought no usable answer.

    :param kind: ``not_sent`` and ``rejected`` mean that nothing ran; after the other
        kinds the request may have run.
    :param host_id: host that was called.
    :param detail: text for the log.
    """

    kind: PeerFailureKind
    host_id: str
    detail: str

    @property
    def ran_nothing(self) -> bool:
        """Whether it is certain that the request did not run."""
        return self.kind in (PeerFailureKind.NOT_SENT, PeerFailureKind.REJECTED)


@dataclass(frozen=True, slots=True)
class FieldError:
    """One mistake in a service document or in the settings.

    :param field_path: path such as ``shards[2].replicas[0].address``; empty
        if the mistake concerns the whole file.
    :param found: what was found.
    :param allowed: what is allowed.
    :param line: number of the line, from 1; None if it cannot be determined.
    """

    field_path: str
    found: str
    allowed: str
    line: int | None = None

    def __str__(self) -> str:
        parts = [f"line {self.line}"] if self.line is not None else []
        if self.field_path:
            parts.append(self.field_path)
        parts.append(f"found {self.found}; allowed: {self.allowed}")
        return ": ".join(parts)


@dataclass(frozen=True, slots=True)
class _FieldErrors:
    """Every mistake in one file.

    :param errors: the mistakes, in the order of the lines where known.
    """

    errors: tuple[FieldError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


class DocumentErrors(_FieldErrors):
    """Every mistake in a service document; correct all of them and check again."""

    __slots__ = ()


class SettingsErrors(_FieldErrors):
    """Every mistake in the daemon settings; correct all of them and start again."""

    __slots__ = ()
