"""JSON Schema of the manifest, source of `manifest.schema.json`."""

from typing import Any

SCHEMA_VERSION = 1
#: Largest values that the schema allows.
MAX_KINDS = 2_000
MAX_SERVICES = 500
MAX_RANK = 9
MAX_DEADLINE_MS = 120_000
MAX_ATTEMPTS = 200
MAX_CALLS_PER_KIND = 64
_NAME = {
    "type": "string",
    "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
    "description": "lower case letters, digits, '.' and '-', at most 63",
}


def json_schema() -> dict[str, Any]:
    """Returns the schema in JSON Schema Draft 2020-12."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "flamingolug manifest",
        "type": "object",
        "additionalProperties": False,
        "required": ["schema_version", "deployment", "services", "kinds"],
        "properties": {
            "schema_version": {"const": SCHEMA_VERSION},
            "deployment": _NAME,
            "services": {
                "type": "array",
                "items": _NAME,
                "minItems": 1,
                "maxItems": MAX_SERVICES,
                "uniqueItems": True,
            },
            "kinds": {
                "type": "object",
                "propertyNames": _NAME,
                "minProperties": 1,
                "maxProperties": MAX_KINDS,
                "additionalProperties": _kind_schema(),
            },
        },
    }


def _kind_schema() -> dict[str, Any]:
    """Returns the schema of one kind of requests."""
    return {
        "type": "object",
        "additionalProperties": False,
        "required": ["service", "rank", "worth", "deadline_ms", "attempts"],
        "properties": {
            "service": _NAME,
            "route": {
                "type": "object",
                "additionalProperties": False,
                "required": ["method", "path"],
                "properties": {
                    "method": {
                        "enum": ["DELETE", "GET", "PATCH", "POST", "PUT"]
                    },
                    "path": {
                        "type": "string",
                        "pattern": "^/[^?#\\s]*$",
                        "description": "a path that begins with '/'",
                    },
                },
            },
            "rank": {
                "type": "integer",
                "minimum": 0,
                "maximum": MAX_RANK,
                "description": "urgency, 0 is the most urgent",
            },
            "worth": {"type": "number", "exclusiveMinimum": 0},
            "non_idempotent": {"type": "boolean", "default": False},
            "deadline_ms": {
                "type": "integer",
                "minimum": 1,
                "maximum": MAX_DEADLINE_MS,
            },
            "attempts": {
                "type": "integer",
                "minimum": 1,
                "maximum": MAX_ATTEMPTS,
                "description": "most attempts over the whole chain",
            },
            "service_time_ms": {
                "type": "number",
                "exclusiveMinimum": 0,
                # Equal to `DEFAULT_SERVICE_TIME_MS`.
                "default": 10,
            },
            "calls": {
                "type": "array",
                "items": _NAME,
                "maxItems": MAX_CALLS_PER_KIND,
                "default": [],
            },
        },
    }
