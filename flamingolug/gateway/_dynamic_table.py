"""Dynamic table that compresses byte strings repeated on one link.

As in HTTP header compression, each direction of a link has its own table. The
encoder adds a value to the table when it sends the value for the second time,
unless the table is full or many other values were sent in between, and sends
its index from then on. Values that occur once, such as the seal with which a
backend server marks each answer, never occupy an entry. Frames of a link arrive
complete and in order, so both sides hold the same table.
"""

from collections.abc import Sequence

import msgspec

from flamingolug import http1

#: An index, a value, or a value that is added to the table.
Token = int | bytes | tuple[bytes]
#: A header field: the index of a name and value pair, or a name and a value.
#: A third, empty part marks a pair that is added to the table.
Field = int | tuple[Token, ...]
#: Maximum number of values in one table; enough for the names of all routes
#: and services of a large deployment and some hundred header fields.
MAX_VALUES = 1024
#: Maximum number of remembered values that were sent once and may enter the
#: table next; all are dropped when there are more.
MAX_VALUES_SENT_ONCE = 512
#: Number of parts of a header field that is added to the table.
_ADDED_PARTS = 3

_Value = bytes | tuple[bytes, bytes]


class TableEncoder:
    """Replaces repeated values by table indexes."""

    def __init__(self) -> None:
        """Creates an encoder with an empty table."""
        self._indexes: dict[_Value, int] = {}
        self._sent_once: set[_Value] = set()

    def encode(self, value: bytes) -> Token:
        """Returns the token for a value."""
        index = self._indexes.get(value)
        if index is not None:
            return index
        return (value,) if self._try_add(value) else value

    def encode_headers(self, headers: http1.Headers) -> list[Field]:
        """Returns the encoded form of header fields."""
        fields: list[Field] = []
        for pair in headers:
            index = self._indexes.get(pair)
            if index is not None:
                fields.append(index)
                continue
            if self._try_add(pair):
                fields.append((*pair, b""))
                continue
            fields.append((self.encode(pair[0]), pair[1]))
        return fields

    def _try_add(self, value: _Value) -> bool:
        """Adds a repeated value to the table; returns whether it did."""
        if value not in self._sent_once:
            if len(self._sent_once) >= MAX_VALUES_SENT_ONCE:
                self._sent_once.clear()
            self._sent_once.add(value)
            return False
        if len(self._indexes) >= MAX_VALUES:
            return False
        self._sent_once.discard(value)
        self._indexes[value] = len(self._indexes)
        return True


class TableDecoder:
    """Restores the values that a `TableEncoder` replaced."""

    def __init__(self) -> None:
        """Creates a decoder with an empty table."""
        self._values: list[_Value] = []

    def decode(self, token: Token) -> bytes:
        """Returns the value that a token represents.

        Raises:
            msgspec.DecodeError: the token is not valid on this link.
        """
        if isinstance(token, bytes):
            return token
        if isinstance(token, tuple):
            self._add(token[0])
            return token[0]
        value = self._lookup(token)
        if not isinstance(value, bytes):
            raise msgspec.DecodeError(f"index {token} refers to a header field")
        return value

    def decode_headers(self, fields: Sequence[Field]) -> http1.Headers:
        """Returns the decoded header fields.

        Raises:
            msgspec.DecodeError: a field is not valid on this link.
        """
        headers: http1.Headers = []
        for field in fields:
            if isinstance(field, int):
                pair = self._lookup(field)
                if isinstance(pair, bytes):
                    raise msgspec.DecodeError(
                        f"index {field} refers to a single value"
                    )
                headers.append(pair)
                continue
            if len(field) not in (2, _ADDED_PARTS):
                raise msgspec.DecodeError(
                    f"header field with {len(field)} parts"
                )
            pair = (self.decode(field[0]), self.decode(field[1]))
            if len(field) == _ADDED_PARTS:
                self._add(pair)
            headers.append(pair)
        return headers

    def _lookup(self, index: int) -> _Value:
        if not 0 <= index < len(self._values):
            raise msgspec.DecodeError(f"index {index} is not in the table")
        return self._values[index]

    def _add(self, value: _Value) -> None:
        if len(self._values) >= MAX_VALUES:
            raise msgspec.DecodeError("table is full")
        self._values.append(value)
