"""Interface between a node and the platform that it runs on."""

from collections.abc import Callable
from typing import NamedTuple

from flamingolug import store
from flamingolug.gateway import _control_server
from flamingolug.gateway import _gate
from flamingolug.gateway import _model
from flamingolug.gateway import _request_state
from flamingolug.gateway import _server_load


class Environment(NamedTuple):
    """Settings, store, decoders and header names of a platform."""

    settings: _model.GatewaySettings
    #: Reads the settings again; raises ConfigurationError.
    reload_settings: Callable[[], _model.GatewaySettings]
    #: Returns a client of the store, given its address and functions that count
    #: calls by operation, and answers that show a new or a former era.
    make_store: Callable[
        [tuple[str, int], Callable[[str], None], Callable[[str], None]],
        store.LeasedStore,
    ]
    #: Key of the configuration in the store.
    configuration_key: str
    #: Decodes a stored configuration; raises ConfigurationError.
    decode_configuration: Callable[[bytes], _model.Configuration]
    report_decoder: _control_server.ReportDecoder
    #: Decodes the load in a header of a backend server's response; returns None
    #: if it is malformed.
    decode_load: Callable[[bytes], _server_load.ServerLoad | None]
    upstream_header_names: _gate.UpstreamHeaderNames
    caller_header_names: _request_state.CallerHeaderNames
    #: Path of the readiness check.
    ready_path: bytes
