"""Metrics are pushed to a collector and exposed for scraping."""

import http.server
import threading
from typing import ClassVar
import unittest

from opentelemetry.proto.collector.metrics.v1 import metrics_service_pb2

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.services import telemetry_service


class Collector(http.server.BaseHTTPRequestHandler):
    """Collector that stores the request bodies that it receives."""

    bodies: ClassVar[list[bytes]] = []

    def do_POST(self):
        self.bodies.append(self.rfile.read(int(self.headers["content-length"])))
        self.send_response(200)
        self.send_header("content-type", "application/x-protobuf")
        self.end_headers()

    def log_message(self, *args):
        pass


class TelemetryTest(unittest.TestCase):
    def test_histograms_are_pushed_by_account_and_class(self):
        server = http.server.HTTPServer(("127.0.0.1", 0), Collector)
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        endpoint = f"http://127.0.0.1:{server.server_port}/v1/metrics"
        telemetry = telemetry_service.TelemetryService(ids.VmId("vm-1"), endpoint)
        self.addCleanup(telemetry._provider.shutdown)
        caller = telemetry_service.Caller(
            ids.AccountId("editors"), configuration.ServiceClass.INTERACTIVE
        )
        attributes = telemetry.attributes(caller)
        telemetry.record(telemetry_service.Histogram.FIRST_TOKEN, 0.2, attributes)
        telemetry.count_request("complete", attributes)
        self.assertTrue(telemetry._provider.force_flush(5_000))
        pushed = metrics_service_pb2.ExportMetricsServiceRequest.FromString(Collector.bodies[0])
        metrics = {
            metric.name: metric
            for resource in pushed.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
        }
        point = metrics["cicadapier_time_to_first_token"].histogram.data_points[0]
        labels = {item.key: item.value.string_value for item in point.attributes}
        self.assertEqual(labels, {"account": "editors", "class": "interactive"})
        self.assertEqual(point.count, 1)
        scraped = telemetry.exposition().decode()
        self.assertIn('cicadapier_requests_total{account="editors"', scraped)


if __name__ == "__main__":
    unittest.main()
