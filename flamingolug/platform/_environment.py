"""Everything that a gateway needs of the platform."""

from flamingolug import gateway
from flamingolug.platform import _configuration
from flamingolug.platform import _headers
from flamingolug.platform import _reports
from flamingolug.platform import _settings
from flamingolug.platform import _store


def make_environment(
    cfg: gateway.GatewaySettings, path: str
) -> gateway.Environment:
    """Returns what a gateway needs.

    Args:
        cfg: settings as they were read at the start.
        path: settings file, read again when it is said to have changed.
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
        upstream_names=_headers.UPSTREAM_NAMES,
        caller_names=_headers.CALLER_NAMES,
        ready_path=_headers.READY_PATH,
    )
