"""Loads YAML documents and checks them against a JSON Schema.

Messages about keys and values contain the line and the key of each problem, up
to `_MAX_PROBLEMS`.
"""

import pathlib
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import jsonschema
import yaml

from flamingolug import errors

#: Maximum number of problems in one error message.
_MAX_PROBLEMS = 20


class Problem(NamedTuple):
    """One value or key of a document that its schema does not allow."""

    #: Line number in the text, starting at 1.
    line: int
    #: Dotted path of the key, such as `kinds.browse.rank`; empty for the whole
    #: document.
    key: str
    #: Description of the problem. For an unknown key it lists the allowed keys,
    #: for a pattern it describes the allowed values.
    message: str


def read_text(path: str, max_bytes: int) -> str:
    """Returns the text of a UTF-8 file.

    Raises:
        ConfigurationError: the file is unreadable, is not UTF-8 or is larger
            than `max_bytes`.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        text = data.decode()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.ConfigurationError(
            f"cannot be read as UTF-8: {exc}", step="read", peer=path
        ) from exc
    if len(data) > max_bytes:
        raise errors.ConfigurationError(
            f"is {len(data)} bytes, at most {max_bytes} are allowed",
            step="read",
            peer=path,
        )
    return text


def load_checked(
    text: str, schema: Mapping[str, Any], source: str
) -> dict[str, Any]:
    """Returns the mapping in a YAML document after checking it.

    Args:
        text: the YAML document.
        schema: the JSON Schema of the document.
        source: name of the file, for error messages.

    Raises:
        ConfigurationError: the text is empty or is not YAML, a key is
            duplicate, or the schema does not allow a value. The message
            contains `source` and, for keys and values, line and key.
    """
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
        if node is None:
            raise errors.ConfigurationError(
                "document is empty", step="parse", peer=source
            )
        _reject_duplicate_keys(node, source)
        tree = yaml.load(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as exc:
        raise errors.ConfigurationError(
            f"not valid YAML: {' '.join(str(exc).split())}",
            step="parse",
            peer=source,
        ) from exc
    problems = _find_problems(tree, schema, node)
    if problems:
        raise errors.ConfigurationError(
            describe(problems), step="check", peer=source
        )
    return dict(tree)


def describe(problems: Iterable[Problem]) -> str:
    """Returns a text with one line for each problem."""
    return "\n".join(
        f"line {problem.line}: {problem.key or '(document)'}: {problem.message}"
        for problem in problems
    )


def _find_problems(
    tree: object, schema: Mapping[str, Any], node: yaml.Node
) -> list[Problem]:
    """Returns up to `_MAX_PROBLEMS` schema violations, ordered by line."""
    validator = jsonschema.Draft202012Validator(schema)
    problems: list[Problem] = []
    for error in validator.iter_errors(tree):
        path = [str(part) for part in error.absolute_path]
        path += _first_unknown_key(error)
        problems.append(
            Problem(
                line=_line_of(node, path),
                key=".".join(path),
                message=_message_of(error),
            )
        )
        if len(problems) >= _MAX_PROBLEMS:
            break
    return sorted(problems)


def _first_unknown_key(error: jsonschema.ValidationError) -> list[str]:
    """Returns the first key that the schema does not allow, as a list.

    The list is empty for errors of other kinds.
    """
    if error.validator != "additionalProperties":
        return []
    schema: Any = error.schema
    allowed = schema.get("properties", {})
    instance: Any = error.instance
    return [str(key) for key in instance if key not in allowed][:1]


def _message_of(error: jsonschema.ValidationError) -> str:
    """Returns the validator's message, with allowed keys or a description."""
    schema: Any = error.schema
    if error.validator == "additionalProperties":
        allowed = sorted(schema.get("properties", {}))
        return f"{error.message}; allowed keys: {', '.join(allowed)}"
    if error.validator == "pattern":
        return f"{error.message}; {schema.get('description', '')}"
    # The validator's message may quote a whole value.
    return str(error.message)[:300]


def _line_of(node: yaml.Node, path: list[str]) -> int:
    """Returns the line of the deepest key of `path` that exists, from 1."""
    line = node.start_mark.line + 1
    for part in path:
        child = _child(node, part)
        if child is None:
            break
        key_node, node = child
        line = key_node.start_mark.line + 1
    return int(line)


def _child(node: yaml.Node, part: str) -> tuple[yaml.Node, yaml.Node] | None:
    """Returns the key node and value node of `part`, None if it is missing.

    An element of a sequence is both key node and value node.
    """
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if str(key_node.value) == part:
                return key_node, value_node
    if isinstance(node, yaml.SequenceNode) and part.isdigit():
        value = node.value[int(part)]
        return value, value
    return None


def _reject_duplicate_keys(root: yaml.Node, source: str) -> None:
    """Raises ConfigurationError if a mapping contains a key twice."""
    pending = [root]
    while pending:
        node = pending.pop()
        if isinstance(node, yaml.SequenceNode):
            pending.extend(node.value)
            continue
        if not isinstance(node, yaml.MappingNode):
            continue
        seen: set[str] = set()
        for key_node, value_node in node.value:
            key = str(key_node.value)
            if key in seen:
                raise errors.ConfigurationError(
                    f"line {key_node.start_mark.line + 1}: {key}: "
                    "duplicate key; remove one of them",
                    step="check",
                    peer=source,
                )
            seen.add(key)
            pending.append(value_node)
