package org.parsleycart.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.time.InstantSource;
import java.util.Optional;
import org.parsleycart.daemon.report.CallLog;
import org.parsleycart.daemon.report.CallMetrics;
import org.parsleycart.daemon.report.CallStatistics;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.daemon.report.EventLog;
import org.parsleycart.daemon.report.LineWriter;
import org.parsleycart.daemon.report.SpanWriter;
import org.parsleycart.daemon.settings.TraceSettings;

/**
 * The metrics, logs, events and spans of a daemon.
 *
 * @param registry the meters
 * @param callMetrics counts calls and their outcomes
 * @param callStatistics counts the calls by which rollouts are evaluated
 * @param callLog writes a log line for each decision on a request
 * @param events the events shown to operators
 * @param tracing records and exports spans
 */
record Telemetry(
    PrometheusMeterRegistry registry,
    CallMetrics callMetrics,
    CallStatistics callStatistics,
    CallLog callLog,
    EventLog events,
    CallTracing tracing) {

  /**
   * The maximum number of call log lines that wait to be written: a few seconds at the highest
   * rate.
   */
  private static final int MAXIMUM_PENDING_CALL_LINES = 512;

  // -- construction

  static Telemetry create(TraceSettings settings, InstantSource clock) throws IOException {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Optional<SpanWriter> spans =
        settings.file().isPresent()
            ? Optional.of(SpanWriter.open(settings.file().get()))
            : Optional.empty();
    return new Telemetry(
        registry,
        new CallMetrics(registry),
        new CallStatistics(),
        new CallLog(
            LineWriter.start(
                new FileOutputStream(FileDescriptor.out), MAXIMUM_PENDING_CALL_LINES, "call-log"),
            clock),
        new EventLog(clock),
        CallTracing.start(settings, spans));
  }
}
