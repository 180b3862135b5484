package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.RefusalReason;

/** The metrics of the calls that this daemon handles. */
public final class CallMetrics {
  private final Map<AttemptOutcome, Timer> calls = new EnumMap<>(AttemptOutcome.class);
  private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
  private final Timer admissionWaits;
  private final Timer connectionWaits;
  private final Counter retries;
  private final Counter localAttempts;
  private final Counter otherZoneAttempts;
  private final Counter coldReturns;
  private final Counter callerDisconnects;

  // -- construction

  /** Registers the metrics of all outcomes and refusal reasons. */
  public CallMetrics(MeterRegistry registry) {
    requireNonNull(registry, "registry is null");
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      calls.put(
          outcome,
          Timer.builder("parsleycart.calls")
              .description("Calls taken from callers, by outcome")
              .tag("outcome", outcome.toString())
              .register(registry));
    }
    for (RefusalReason reason : RefusalReason.values()) {
      refusals.put(
          reason,
          Counter.builder("parsleycart.refusals")
              .description("Calls refused beside an upstream or at the entry, by reason")
              .tag("reason", reason.toString())
              .register(registry));
    }
    admissionWaits =
        Timer.builder("parsleycart.admission.wait")
            .description("Time for which admitted calls waited for a slot of an upstream beside")
            .register(registry);
    connectionWaits =
        Timer.builder("parsleycart.connection.wait")
            .description("Time for which requests lay on their connection behind earlier ones")
            .register(registry);
    retries =
        Counter.builder("parsleycart.retries")
            .description("Retries: attempts after the first")
            .register(registry);
    callerDisconnects =
        Counter.builder("parsleycart.callers.left")
            .description("Calls whose caller closed its connection before the answer")
            .register(registry);
    localAttempts =
        Counter.builder("parsleycart.local.hops")
            .description("Attempts to an upstream beside the entry")
            .register(registry);
    otherZoneAttempts =
        Counter.builder("parsleycart.other.zone.attempts")
            .description("Attempts to an upstream in another zone")
            .register(registry);
    coldReturns =
        Counter.builder("parsleycart.cold.returns")
            .description("Times that an upstream returned to cold start")
            .register(registry);
  }

  // -- events

  /** Records a call that has ended. */
  public void recordCall(AttemptOutcome outcome, Duration duration) {
    calls.get(outcome).record(duration);
  }

  /** Records how long an admitted call waited for a slot. */
  public void recordAdmissionWait(Duration wait) {
    admissionWaits.record(wait);
  }

  /** Records how long a request lay on its connection behind earlier ones. */
  public void recordConnectionWait(Duration wait) {
    connectionWaits.record(wait);
  }

  public void recordRefusal(RefusalReason reason) {
    refusals.get(reason).increment();
  }

  /** Counts an attempt after the first attempt of a call. */
  public void recordRetry() {
    retries.increment();
  }

  /** Counts an attempt at an upstream beside the entry, which needs no hop to another daemon. */
  public void recordLocalAttempt() {
    localAttempts.increment();
  }

  /** Counts an attempt at an upstream if that is in another zone than the entry. */
  public void recordAttempt(String entryZone, String upstreamZone) {
    if (!entryZone.equals(upstreamZone)) {
      otherZoneAttempts.increment();
    }
  }

  /** Counts a caller that disconnected before its response. */
  public void recordCallerDisconnect() {
    callerDisconnects.increment();
  }

  /** Counts a return of an upstream to cold start. */
  public void recordColdReturn() {
    coldReturns.increment();
  }
}
