"""Short numbers for byte strings that one link carries again and again.

Pattern: dynamic table, as in header compression. Each direction of a link has
its own table. The encoder defines a value when it sends it for the second time;
from then on its number stands for it. Values that come once, such as seals,
never take a place. Frames of a link arrive whole and in order, so that both
sides hold the same table.
"""

from collections.abc import Sequence

import msgspec

from flamingolug import http1

#: A number, a value, or a value to be given the next number.
Token = int | bytes | tuple[bytes]
#: A header field: a name and a value; by its number where both are defined.
Field = int | tuple[Token, ...]
#: Values that one table holds. The names of all routes and services of a
#: large deployment and some hundred header fields fit.
MAX_VALUES = 1024
#: Values that have been sent once and are remembered.
MAX_CANDIDATES = 512
#: Parts of a header field that is given the next number.
_DEFINED = 3

_Value = bytes | tuple[bytes, bytes]


class TableEncoder:
    """Replaces repeated values by numbers."""

    def __init__(self) -> None:
        """Starts with an empty table."""
        self._numbers: dict[_Value, int] = {}
        self._candidates: set[_Value] = set()

    def encode(self, value: bytes) -> Token:
        """Returns what stands for a value."""
        number = self._numbers.get(value)
        if number is not None:
            return number
        return (value,) if self._defines(value) else value

    def encode_headers(self, headers: http1.Headers) -> list[Field]:
        """Returns what stands for header fields."""
        fields: list[Field] = []
        for pair in headers:
            number = self._numbers.get(pair)
            if number is not None:
                fields.append(number)
                continue
            if self._defines(pair):
                fields.append((*pair, b""))
                continue
            fields.append((self.encode(pair[0]), pair[1]))
        return fields

    def _defines(self, value: _Value) -> bool:
        """Returns whether a value gets the next number now."""
        if value not in self._candidates:
            if len(self._candidates) >= MAX_CANDIDATES:
                self._candidates.clear()
            self._candidates.add(value)
            return False
        if len(self._numbers) >= MAX_VALUES:
            return False
        self._candidates.discard(value)
        self._numbers[value] = len(self._numbers)
        return True


class TableDecoder:
    """Returns the values that a `TableEncoder` has replaced."""

    def __init__(self) -> None:
        """Starts with an empty table."""
        self._values: list[_Value] = []

    def decode(self, token: Token) -> bytes:
        """Returns the value that a token stands for.

        Raises:
            msgspec.DecodeError: the token is none of this link.
        """
        if isinstance(token, bytes):
            return token
        if isinstance(token, tuple):
            self._define(token[0])
            return token[0]
        value = self._find(token)
        if not isinstance(value, bytes):
            raise msgspec.DecodeError(f"number {token} is a header field")
        return value

    def decode_headers(self, fields: Sequence[Field]) -> http1.Headers:
        """Returns the header fields that were replaced.

        Raises:
            msgspec.DecodeError: a field is none of this link.
        """
        headers: http1.Headers = []
        for field in fields:
            if isinstance(field, int):
                pair = self._find(field)
                if isinstance(pair, bytes):
                    raise msgspec.DecodeError(f"number {field} is a value")
                headers.append(pair)
                continue
            if len(field) not in (2, _DEFINED):
                raise msgspec.DecodeError(f"field of {len(field)} parts")
            pair = (self.decode(field[0]), self.decode(field[1]))
            if len(field) == _DEFINED:
                self._define(pair)
            headers.append(pair)
        return headers

    def _find(self, number: int) -> _Value:
        if not 0 <= number < len(self._values):
            raise msgspec.DecodeError(f"number {number} is not defined")
        return self._values[number]

    def _define(self, value: _Value) -> None:
        if len(self._values) >= MAX_VALUES:
            raise msgspec.DecodeError("more values than a table holds")
        self._values.append(value)
