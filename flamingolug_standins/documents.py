"""Builds configuration documents in the format of the platform."""

import msgspec

#: Host name of all routes.
HOST = "shop.example"


def make_route(name: str, service: str, **changes: object) -> dict[str, object]:
    """Returns a route resource; `changes` replace fields of its spec."""
    spec: dict[str, object] = {
        "Hostname": HOST,
        "Prefix": f"/{name}/",
        "Kind": "safe",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 1000,
        "MaxAttempts": 2,
        "Priority": 1,
        "Service": service,
    }
    spec.update(changes)
    return {
        "ResourceType": "Routes",
        "Metadata": {"Name": name},
        "Spec": spec,
    }


def make_document(version: int, routes: list[dict[str, object]]) -> bytes:
    """Returns a configuration document with the routes and fixed limits."""
    limits = {
        "ResourceType": "Limits",
        "Metadata": {},
        "Spec": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 1000,
            "IdleTimeoutMs": 15000,
        },
    }
    return msgspec.json.encode(
        {"Version": f"r{version}", "Resources": [*routes, limits]}
    )
