package org.parsleycart.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The members that are currently suspected, with the start of each suspicion. */
final class SuspicionTimers {
  private final Map<String, Instant> suspectedSince = new HashMap<>();

  // -- events

  /** Starts the timer of a member that is suspected, and stops it for any other status. */
  void recordStatus(MemberRecord record, Instant now) {
    if (record.status() == MemberStatus.SUSPECTED) {
      suspectedSince.putIfAbsent(record.identifier(), now);
    } else {
      suspectedSince.remove(record.identifier());
    }
  }

  /** Restarts the timers of all suspected members, for use after a pause of this process. */
  void restartAll(Instant now) {
    suspectedSince.replaceAll((member, start) -> now);
  }

  /** Removes and returns the members that have been suspected for longer than the timeout. */
  List<String> removeOverdue(Duration timeout, Instant now) {
    List<String> overdue =
        suspectedSince.entrySet().stream()
            .filter(entry -> entry.getValue().plus(timeout).isBefore(now))
            .map(Map.Entry::getKey)
            .toList();
    overdue.forEach(suspectedSince::remove);
    return overdue;
  }
}
