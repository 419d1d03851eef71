"""Counters that are exported through OpenTelemetry."""

from collections.abc import Mapping

from opentelemetry import metrics as otel_api
from opentelemetry.sdk import metrics as otel_sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export as otel_export


class Counters:
    """Counts events by name and attributes.

    The counts are kept in dicts, because an update then costs well under a
    microsecond on the path of a call. OpenTelemetry reads the dicts through
    observable counters when it collects. The node itself reads them with
    `snapshot`.
    """

    def __init__(
        self, node: str, otlp_endpoint: str, interval_s: float
    ) -> None:
        """Creates the counters.

        Args:
            node: name of the node, exported as the resource attribute
                `service.instance.id`.
            otlp_endpoint: URL of an OTLP/HTTP receiver. If it is empty,
                nothing is exported.
            interval_s: seconds between exports.
        """
        self._counts: dict[str, dict[tuple[str, ...], int]] = {}
        self._attribute_names: dict[str, tuple[str, ...]] = {}
        self._reader = otel_export.InMemoryMetricReader()
        readers: list[otel_export.MetricReader] = [self._reader]
        if otlp_endpoint:
            readers.append(_otlp_reader(otlp_endpoint, interval_s))
        self._provider = otel_sdk.MeterProvider(
            metric_readers=readers,
            resource=resources.Resource.create(
                {"service.name": "flamingolug", "service.instance.id": node}
            ),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("flamingolug")

    def declare(
        self, name: str, description: str, *attribute_names: str
    ) -> None:
        """Declares a counter; has no effect if it is already declared.

        Args:
            name: name of the counter.
            description: description for OpenTelemetry.
            attribute_names: names of the counter's attributes.
        """
        if name in self._counts:
            return
        counts: dict[tuple[str, ...], int] = {}
        self._counts[name] = counts
        self._attribute_names[name] = attribute_names

        def observe(
            options: otel_api.CallbackOptions,
        ) -> list[otel_api.Observation]:
            del options
            return [
                otel_api.Observation(
                    count,
                    dict(zip(attribute_names, attribute_values, strict=True)),
                )
                for attribute_values, count in counts.items()
            ]

        self._meter.create_observable_counter(
            name, callbacks=[observe], description=description
        )

    def add(self, name: str, *attribute_values: str, count: int = 1) -> None:
        """Adds to a declared counter.

        Args:
            name: name of the counter.
            attribute_values: values of the attributes, in the order in which
                their names were declared.
            count: the increment.
        """
        counts = self._counts[name]
        counts[attribute_values] = counts.get(attribute_values, 0) + count

    def snapshot(self) -> Mapping[str, list[dict[str, object]]]:
        """Returns the rows of each counter by the counter's name.

        A row maps each attribute name to its value, and `value` to the count.
        """
        result: dict[str, list[dict[str, object]]] = {}
        for name, counts in sorted(self._counts.items()):
            rows: list[dict[str, object]] = []
            for attribute_values, count in sorted(counts.items()):
                row: dict[str, object] = dict(
                    zip(
                        self._attribute_names[name],
                        attribute_values,
                        strict=True,
                    )
                )
                row["value"] = count
                rows.append(row)
            result[name] = rows
        return result

    def stop(self) -> None:
        """Exports the last counts and shuts the exporters down."""
        self._provider.shutdown()


def _otlp_reader(endpoint: str, interval_s: float) -> otel_export.MetricReader:
    """Returns a reader that exports periodically by OTLP over HTTP."""
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    return otel_export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=interval_s * 1000,
    )
