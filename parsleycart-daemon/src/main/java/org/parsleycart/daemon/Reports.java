package org.parsleycart.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.time.InstantSource;
import java.util.Optional;
import org.parsleycart.daemon.report.CallEvidence;
import org.parsleycart.daemon.report.CallMetrics;
import org.parsleycart.daemon.report.CallTracing;
import org.parsleycart.daemon.report.EventBook;
import org.parsleycart.daemon.report.SpanWriter;
import org.parsleycart.daemon.settings.TraceSettings;

/**
 * What a daemon tells of itself.
 *
 * @param registry the meters
 * @param metrics the counters of calls
 * @param evidence the calls that count for rollouts
 * @param events the events for operators
 * @param tracing the spans
 */
record Reports(
    PrometheusMeterRegistry registry,
    CallMetrics metrics,
    CallEvidence evidence,
    EventBook events,
    CallTracing tracing) {

  // -- construction

  static Reports create(TraceSettings settings, InstantSource clock) throws IOException {
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    Optional<SpanWriter> spans =
        settings.file().isPresent()
            ? Optional.of(SpanWriter.open(settings.file().get()))
            : Optional.empty();
    return new Reports(
        registry,
        new CallMetrics(registry),
        new CallEvidence(),
        new EventBook(clock),
        CallTracing.start(settings, spans));
  }
}
