"""Assembles the platform-specific parts of a node."""

from flamingolug import gateway
from flamingolug.platform import _configuration
from flamingolug.platform import _headers
from flamingolug.platform import _reports
from flamingolug.platform import _server_load
from flamingolug.platform import _settings
from flamingolug.platform import _store


def make_environment(
    cfg: gateway.GatewaySettings, path: str
) -> gateway.Environment:
    """Returns the environment of a node on the platform.

    Args:
        cfg: settings read at the start.
        path: path of the settings file, read again on each reload.
    """
    return gateway.Environment(
        settings=cfg,
        reload_settings=lambda: _settings.load_settings(path),
        make_store=_store.PlatformStore,
        configuration_key=_configuration.CONFIGURATION_KEY,
        decode_configuration=_configuration.decode_configuration,
        report_decoder=gateway.ReportDecoder(
            _reports.decode_report, _reports.decode_leave
        ),
        decode_load=_server_load.decode_load,
        upstream_header_names=_headers.UPSTREAM_HEADER_NAMES,
        caller_header_names=_headers.CALLER_HEADER_NAMES,
        ready_path=_headers.READY_PATH,
    )
