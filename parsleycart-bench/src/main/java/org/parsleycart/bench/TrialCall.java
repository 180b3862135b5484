package org.parsleycart.bench;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/** A call of a trial. */
final class TrialCall {
  final TrialEntry entry;
  final Instant arrivedAt;
  final Set<String> tried = new HashSet<>();
  int attempts;

  TrialCall(TrialEntry entry, Instant arrivedAt) {
    this.entry = entry;
    this.arrivedAt = arrivedAt;
  }
}
