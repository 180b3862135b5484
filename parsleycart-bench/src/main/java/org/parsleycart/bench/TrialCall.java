package org.parsleycart.bench;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

/** A simulated call with its attempts so far. */
final class TrialCall {
  final TrialRouter router;
  final Instant arrivedAt;
  final Set<String> triedUpstreams = new HashSet<>();
  int attempts;

  TrialCall(TrialRouter router, Instant arrivedAt) {
    this.router = router;
    this.arrivedAt = arrivedAt;
  }
}
