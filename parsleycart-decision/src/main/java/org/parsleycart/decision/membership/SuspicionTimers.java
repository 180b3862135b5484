package org.parsleycart.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The members that are suspected here, and since when. */
final class SuspicionTimers {
  private final Map<String, Instant> since = new HashMap<>();

  // -- events

  /** Takes note of the status of a member. */
  void recordStatus(MemberRecord record, Instant now) {
    if (record.status() == MemberStatus.SUSPECTED) {
      since.putIfAbsent(record.identifier(), now);
    } else {
      since.remove(record.identifier());
    }
  }

  /** Gives all suspected members the whole time again, as after a pause of this process. */
  void restartAll(Instant now) {
    since.replaceAll((member, start) -> now);
  }

  /** Takes out the members that have been suspected for longer than the timeout. */
  List<String> removeOverdue(Duration timeout, Instant now) {
    List<String> overdue =
        since.entrySet().stream()
            .filter(entry -> entry.getValue().plus(timeout).isBefore(now))
            .map(Map.Entry::getKey)
            .toList();
    overdue.forEach(since::remove);
    return overdue;
  }
}
