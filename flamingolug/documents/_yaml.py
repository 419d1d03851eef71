"""Loads a YAML text and checks it against a JSON Schema."""

import pathlib
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import jsonschema
import yaml

from flamingolug import errors

_MAX_PROBLEMS = 20


class Problem(NamedTuple):
    """One thing that is wrong in a document."""

    #: Line in the text, from 1.
    line: int
    #: Dotted path of the key, such as `kinds.browse.rank`.
    key: str
    #: What is wrong and what is allowed.
    message: str


def read_text(path: str, max_bytes: int) -> str:
    """Reads a UTF-8 file.

    Raises:
        ConfigurationError: unreadable, not UTF-8 or over `max_bytes`.
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
    """Parses `text` and checks it.

    Args:
        text: the YAML document.
        schema: a JSON Schema that describes it.
        source: name of the file, for messages.

    Raises:
        ConfigurationError: bad YAML, a duplicate key, or a value that the
            schema does not allow; names source, line and key.
    """
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
        if node is None:
            raise errors.ConfigurationError(
                "document is empty", step="parse", peer=source
            )
        _refuse_duplicates(node, source)
        tree = yaml.load(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as exc:
        raise errors.ConfigurationError(
            f"not valid YAML: {' '.join(str(exc).split())}",
            step="parse",
            peer=source,
        ) from exc
    problems = _problems(tree, schema, node)
    if problems:
        raise errors.ConfigurationError(
            describe(problems), step="check", peer=source
        )
    return dict(tree)


def describe(problems: Iterable[Problem]) -> str:
    """Returns one line of text for each problem."""
    return "\n".join(
        f"line {problem.line}: {problem.key or '(document)'}: {problem.message}"
        for problem in problems
    )


def _problems(
    tree: object, schema: Mapping[str, Any], node: yaml.Node
) -> list[Problem]:
    """Returns what the schema finds, in line order."""
    validator = jsonschema.Draft202012Validator(schema)
    found: list[Problem] = []
    for error in validator.iter_errors(tree):
        path = [str(part) for part in error.absolute_path]
        path += _unknown_key(error)
        found.append(
            Problem(
                line=_line_of(node, path),
                key=".".join(path),
                message=_explain(error),
            )
        )
        if len(found) >= _MAX_PROBLEMS:
            break
    return sorted(found)


def _unknown_key(error: jsonschema.ValidationError) -> list[str]:
    """Returns the first key that the schema does not know, if that is it."""
    if error.validator != "additionalProperties":
        return []
    schema: Any = error.schema
    known = schema.get("properties", {})
    instance: Any = error.instance
    return [str(key) for key in instance if key not in known][:1]


def _explain(error: jsonschema.ValidationError) -> str:
    """Returns the validator's message with the allowed values."""
    schema: Any = error.schema
    if error.validator == "additionalProperties":
        allowed = sorted(schema.get("properties", {}))
        return f"{error.message}; allowed keys: {', '.join(allowed)}"
    if error.validator == "pattern":
        return f"{error.message}; {schema.get('description', '')}"
    return str(error.message)[:300]


def _line_of(node: yaml.Node, path: list[str]) -> int:
    """Returns the line of the deepest part of `path` that exists."""
    line = node.start_mark.line + 1
    for part in path:
        child = _child(node, part)
        if child is None:
            break
        key_node, node = child
        line = key_node.start_mark.line + 1
    return int(line)


def _child(node: yaml.Node, part: str) -> tuple[yaml.Node, yaml.Node] | None:
    """Returns the key node and value node of `part` inside `node`."""
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if str(key_node.value) == part:
                return key_node, value_node
    if isinstance(node, yaml.SequenceNode) and part.isdigit():
        value = node.value[int(part)]
        return value, value
    return None


def _refuse_duplicates(root: yaml.Node, source: str) -> None:
    """Raises ConfigurationError at the first key that stands twice."""
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
