package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.document.Document;

/** The attempts of one call at its entry, made one after the other, for the log. */
final class AttemptHistory {
  private final List<EndedAttempt> ended = new ArrayList<>(1);
  private Optional<AttemptRecord> running = Optional.empty();

  private record EndedAttempt(
      AttemptRecord attempt, AttemptResult result, RefusalReason refusal, Instant endedAt) {

    Document.MappingBuilder toLogFields() {
      Document.MappingBuilder fields =
          Document.mapping()
              .with("upstream", attempt.candidate().identifier())
              .with("daemon", attempt.candidate().callAddress())
              .with("zone", attempt.candidate().zone())
              .with("choice", attempt.choice().toString())
              .with("outstandingCalls", attempt.outstandingCalls())
              .with("milliseconds", Duration.between(attempt.startedAt(), endedAt).toMillis())
              .with("outcome", result.outcome().toString());
      attempt.loadAge().ifPresent(age -> fields.with("loadAgeMilliseconds", age.toMillis()));
      result.status().ifPresent(status -> fields.with("status", status));
      if (result.isRefusedBeforeArrival()) {
        fields.with("reason", refusal.toString());
      } else if (result.fault() != AttemptResult.Fault.NONE) {
        fields.with("fault", result.fault().toString());
      }
      return fields;
    }
  }

  // -- events

  void recordStart(AttemptRecord attempt) {
    running = Optional.of(requireNonNull(attempt, "attempt is null"));
  }

  /**
   * Records the end of the running attempt.
   *
   * @param refusal the reason if a daemon refused the call, otherwise ignored
   */
  void recordEnd(AttemptResult result, RefusalReason refusal, Instant now) {
    running.ifPresent(attempt -> ended.add(new EndedAttempt(attempt, result, refusal, now)));
    running = Optional.empty();
  }

  // -- conversion

  /** Returns the fields of one log line for each attempt that has ended, in order. */
  Stream<Document.MappingBuilder> toLogFields() {
    return ended.stream().map(EndedAttempt::toLogFields);
  }
}
