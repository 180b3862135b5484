package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.model.document.Document;

/**
 * How a call ended at its entry, for the log.
 *
 * @param duration the time from the arrival of the request to its end
 * @param status the status sent to the caller, empty if no response was started
 * @param upstreams the identifiers of the upstreams tried, in order
 * @param failedArrivals the attempts that reached an upstream, or may have, and were not answered
 * @param refusals the attempts that were refused or failed before they reached an upstream
 * @param reasonForNoResponse why the caller got no answer of an upstream, if it got none
 * @param isCallerGone whether the caller disconnected before the end
 */
record CallEnd(
    RoutedRequest request,
    AttemptOutcome outcome,
    Duration duration,
    OptionalInt status,
    List<String> upstreams,
    int failedArrivals,
    int refusals,
    String reasonForNoResponse,
    boolean isCallerGone) {

  CallEnd {
    requireNonNull(request, "request is null");
    requireNonNull(outcome, "outcome is null");
    requireNonNull(duration, "duration is null");
    requireNonNull(status, "status is null");
    upstreams = List.copyOf(upstreams);
    requireNonNull(reasonForNoResponse, "reasonForNoResponse is null");
  }

  // -- queries

  private boolean isAnswered() {
    return outcome == AttemptOutcome.ANSWERED;
  }

  /** Returns whether the call was not answered, failed at its upstream or missed its objective. */
  boolean isExceptional() {
    boolean isSlow = duration.compareTo(request.contract().latencyObjective()) > 0;
    boolean isServerError = AttemptResult.isServerError(status.orElse(0));
    return !isAnswered() || isSlow || isServerError;
  }

  // -- conversion

  /** Returns the fields of the log line. */
  Document.MappingBuilder toLogFields() {
    Document.MappingBuilder fields =
        request
            .toLogFields(duration)
            .with("outcome", outcome.toString())
            .with("upstreams", String.join(",", upstreams))
            .with("arrivals", failedArrivals + (isAnswered() ? 1 : 0))
            .with("refusals", refusals);
    status.ifPresent(code -> fields.with("status", code));
    if (!isAnswered()) {
      fields.with("reason", reasonForNoResponse).with("callerLeft", isCallerGone);
    }
    return fields;
  }
}
