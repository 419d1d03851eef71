"""JSON Schema of a node's settings, source of `settings.schema.json`."""

from typing import Any

_ADDRESS = {
    "type": "string",
    "pattern": "^[0-9a-fA-F.:]+:[0-9]{1,5}$",
    "description": "an IP address and a port, such as 127.0.0.1:8101",
}
_NAME = {"type": "string", "minLength": 1, "maxLength": 63}
#: Least number of characters in the shared secret.
MIN_KEY_LENGTH = 16
DEFAULT_REQUEST_BODY_BYTES = 1_048_576
DEFAULT_RESPONSE_BODY_BYTES = 8_388_608
DEFAULT_DRAIN_TIMEOUT_S = 30.0
DEFAULT_OTLP_INTERVAL_S = 10.0


def json_schema() -> dict[str, Any]:
    """Returns the schema in JSON Schema Draft 2020-12."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "flamingolug node settings",
        "type": "object",
        "additionalProperties": False,
        "required": [
            "name",
            "region",
            "availability_zone",
            "http_address",
            "peer_address",
            "peer_key",
        ],
        "properties": {
            "name": _NAME,
            "region": _NAME,
            "availability_zone": _NAME,
            "http_address": _ADDRESS,
            "peer_address": _ADDRESS,
            "peer_bind_address": _ADDRESS,
            "peer_key": {"type": "string", "minLength": MIN_KEY_LENGTH},
            "store_url": {"type": "string", "default": ""},
            "seeds": {"type": "array", "items": _ADDRESS, "default": []},
            "max_request_body_bytes": {
                "type": "integer",
                "minimum": 0,
                # 64 MiB.
                "maximum": 67_108_864,
                "default": DEFAULT_REQUEST_BODY_BYTES,
            },
            "max_response_body_bytes": {
                "type": "integer",
                "minimum": 1,
                # 64 MiB.
                "maximum": 67_108_864,
                "default": DEFAULT_RESPONSE_BODY_BYTES,
            },
            "drain_timeout_s": {
                "type": "number",
                "minimum": 0,
                "maximum": 600,
                "default": DEFAULT_DRAIN_TIMEOUT_S,
            },
            "control": {"enum": ["full", "none"], "default": "full"},
            "log_level": {
                "enum": ["debug", "info", "warning", "error"],
                "default": "info",
            },
            "otlp_endpoint": {"type": "string", "default": ""},
            "otlp_interval_s": {
                "type": "number",
                "minimum": 1,
                "maximum": 3600,
                "default": DEFAULT_OTLP_INTERVAL_S,
            },
        },
    }
