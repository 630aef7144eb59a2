"""Decoding of JSON that was written outside this process."""

from typing import Generic, TypeVar

import msgspec
from result import Err, Ok, Result

from celeryferry_core.exceptions import CeleryferryError

_T = TypeVar("_T")

# Error texts of msgspec can quote the input.
MAX_REASON_CHARACTERS = 200


class UndecodableError(CeleryferryError):
    """Bytes that are not JSON, or not of the expected type. The message says why."""


class JsonDecoder(Generic[_T]):
    """Decodes JSON of one type and returns every failure as a value.

    :param value_type: type of the decoded values.
    """

    __slots__ = ("_decoder",)

    def __init__(self, value_type: type[_T]) -> None:
        self._decoder = msgspec.json.Decoder(value_type)

    def decode(self, content: bytes) -> Result[_T, UndecodableError]:
        """Decode one value.

        :returns: the value, or why the content is not one.
        """
        try:
            return Ok(self._decoder.decode(content))
        except (ValueError, RecursionError, OverflowError) as error:
            # msgspec raises ValueError for malformed content and RecursionError for
            # deep nesting, also in fields that are ignored.
            return Err(UndecodableError(str(error)[:MAX_REASON_CHARACTERS]))
