package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.context.propagation.TextMapPropagator;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.parsleycart.daemon.settings.TraceSettings;
import org.parsleycart.decision.AttemptOutcome;

/** Starts a span for each hop of a call, and propagates the trace in W3C trace context. */
public final class CallTracing implements AutoCloseable {
  private static final String TRACE_PARENT = "traceparent";
  private static final double PER_MILLE = 1000.0;
  private static final TextMapPropagator PROPAGATOR = W3CTraceContextPropagator.getInstance();
  private static final TextMapGetter<String> TRACE_PARENT_GETTER = new TraceParentGetter();

  private final SdkTracerProvider provider;
  private final Tracer tracer;
  private final boolean isRecording;

  // -- construction

  private CallTracing(SdkTracerProvider provider, boolean isRecording) {
    this.provider = provider;
    this.isRecording = isRecording;
    this.tracer = provider.get("parsleycart");
  }

  /** Starts tracing. Without a writer no spans are recorded, but trace contexts are propagated. */
  public static CallTracing start(TraceSettings settings, Optional<SpanWriter> writer) {
    requireNonNull(settings, "settings is null");
    double sampleRatio = writer.isPresent() ? settings.samplePerMille() / PER_MILLE : 0;
    Sampler sampler = Sampler.parentBased(Sampler.traceIdRatioBased(sampleRatio));
    var builder = SdkTracerProvider.builder().setSampler(sampler);
    writer.ifPresent(builder::addSpanProcessor);
    return new CallTracing(builder.build(), writer.isPresent());
  }

  // -- operations

  /**
   * Starts the span of a hop.
   *
   * @param kind whether this daemon is the server or the client of the hop
   * @param traceParent the trace context received with the call, if any
   */
  public CallSpan startSpan(String name, SpanKind kind, Optional<String> traceParent) {
    if (!isRecording) {
      return new CallSpan(Span.getInvalid(), traceParent.orElse(""));
    }
    Context parent =
        traceParent
            .map(text -> PROPAGATOR.extract(Context.root(), text, TRACE_PARENT_GETTER))
            .orElse(Context.root());
    Span span = tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    return new CallSpan(span, traceParentOf(span));
  }

  private static String traceParentOf(Span span) {
    AtomicReference<String> carrier = new AtomicReference<>("");
    PROPAGATOR.inject(
        Context.root().with(span),
        carrier,
        (reference, key, value) -> {
          if (key.equals(TRACE_PARENT)) {
            reference.set(value);
          }
        });
    return carrier.get();
  }

  @Override
  public void close() {
    provider.close();
  }

  /** The span of one hop. */
  public static final class CallSpan {
    private final Span span;
    private final String traceParent;

    private CallSpan(Span span, String traceParent) {
      this.span = span;
      this.traceParent = traceParent;
    }

    /** Returns the trace context for the next hop, an empty string if there is none. */
    public String traceParent() {
      return traceParent;
    }

    /** Sets an attribute and returns this span. */
    public CallSpan with(String key, String value) {
      span.setAttribute(key, value);
      return this;
    }

    /** Ends the span. Any outcome but {@code ANSWERED} marks it as an error. */
    public void end(AttemptOutcome outcome) {
      span.setAttribute("parsleycart.outcome", outcome.toString());
      if (outcome != AttemptOutcome.ANSWERED) {
        span.setStatus(StatusCode.ERROR);
      }
      span.end();
    }
  }

  private static final class TraceParentGetter implements TextMapGetter<String> {
    @Override
    public Iterable<String> keys(String carrier) {
      return List.of(TRACE_PARENT);
    }

    @Override
    public String get(String carrier, String key) {
      return key.equals(TRACE_PARENT) ? carrier : null;
    }
  }
}
