"""What the place where a gateway runs provides."""

from collections.abc import Callable
from typing import NamedTuple

from flamingolug import store
from flamingolug.gateway import _control_server
from flamingolug.gateway import _gate
from flamingolug.gateway import _model
from flamingolug.gateway import _request_state


class Environment(NamedTuple):
    """Settings, store and message names of the place."""

    settings: _model.GatewaySettings
    #: Reads the settings anew after they have changed.
    reload_settings: Callable[[], _model.GatewaySettings]
    #: Returns a client of the store, given its address and a counter.
    make_store: Callable[
        [tuple[str, int], Callable[[str], None]], store.LeasedStore
    ]
    configuration_key: str
    decode_configuration: Callable[[bytes], _model.Configuration]
    report_decoder: _control_server.ReportDecoder
    upstream_names: _gate.UpstreamNames
    caller_names: _request_state.CallerNames
    ready_path: bytes
