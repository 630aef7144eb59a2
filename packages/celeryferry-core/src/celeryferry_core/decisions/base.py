"""Common form of all decisions."""

from dataclasses import dataclass, fields
from enum import Enum
from functools import cache
from typing import Any, ClassVar


@cache
def _list_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(kind))


def _render(value: Any) -> str:
    if type(value) is str:
        return value
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple | list | frozenset):
        return ",".join(_render(item) for item in value) or "-"
    return "-" if value is None else str(value)


@dataclass(frozen=True, slots=True)
class Decision:
    """Base class of all decisions. Subclasses add the fields that explain a decision.

    ``PREFIX`` names the role or the subject, such as ``front:`` or ``lease:``.
    ``SENTENCE`` says in a few words what was decided, without a full stop.
    """

    PREFIX: ClassVar[str] = ""
    SENTENCE: ClassVar[str] = ""

    def to_line(self) -> str:
        """Return the log line of the decision.

        :returns: prefix, sentence and ``name=value`` for each field.
        """
        parts = [
            f"{name}={_render(getattr(self, name))}" for name in _list_names(type(self))
        ]
        return " ".join([self.PREFIX, self.SENTENCE, *parts])

    def to_record(self) -> dict[str, Any]:
        """Return the decision as a JSON object for golden files.

        :returns: mapping with the class name under ``decision`` and all fields.
        """
        record: dict[str, Any] = {"decision": type(self).__name__}
        record.update({name: getattr(self, name) for name in _list_names(type(self))})
        return record
