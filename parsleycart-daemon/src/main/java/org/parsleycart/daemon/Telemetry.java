package org.parsleycart.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.time.InstantSource;
import java.util.Optional;
import org.parsleycart.daemon.report.CallEvidence;
import org.parsleycart.daemon.report.CallLog;
import org.parsleycart.daemon.report.CallMetrics;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.daemon.report.EventBook;
import org.parsleycart.daemon.report.LineWriter;
import org.parsleycart.daemon.report.SpanWriter;
import org.parsleycart.daemon.settings.TraceSettings;

/**
 * What a daemon tells of itself.
 *
 * @param registry the meters
 * @param callMetrics the counters of calls
 * @param callEvidence the calls that count for rollouts
 * @param callLog writes a line for each decision on a request
 * @param events the events for operators
 * @param tracing the spans
 */
record Telemetry(
    PrometheusMeterRegistry registry,
    CallMetrics callMetrics,
    CallEvidence callEvidence,
    CallLog callLog,
    EventBook events,
    CallTracing tracing) {

  /** The most lines about calls that wait to be written: some seconds of the most there are. */
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
        new CallEvidence(),
        new CallLog(
            LineWriter.start(
                new FileOutputStream(FileDescriptor.out), MAXIMUM_PENDING_CALL_LINES, "call-log"),
            clock),
        new EventBook(clock),
        CallTracing.start(settings, spans));
  }
}
