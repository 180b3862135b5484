package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The state that an upstream reports about itself in one heartbeat.
 *
 * @param upstream the upstream as announced to other daemons
 * @param address the address for requests, {@code host:port}
 * @param startedAt the start of the process in milliseconds since the epoch, 0 when not reported
 * @param sequence numbers the heartbeats of one process, so that late delivery is detected
 * @param remainingColdTime the remaining duration of the cold start
 */
public record UpstreamHeartbeat(
    AnnouncedUpstream upstream,
    String address,
    long startedAt,
    long sequence,
    Duration remainingColdTime) {

  // -- construction

  public UpstreamHeartbeat {
    requireNonNull(upstream, "upstream is null");
    requireNonNull(address, "address is null");
    requireNonNull(remainingColdTime, "remainingColdTime is null");
  }

  // -- queries

  /**
   * Returns whether this heartbeat is newer than the other: sent later by the same process, or sent
   * by a process that started later.
   */
  public boolean isNewerThan(UpstreamHeartbeat other) {
    requireNonNull(other, "other is null");
    boolean isSameProcess = startedAt == other.startedAt;
    return isSameProcess ? sequence > other.sequence : startedAt > other.startedAt;
  }

  /** Returns whether both heartbeats come from the same process of the same upstream. */
  public boolean isFromSameProcessAs(UpstreamHeartbeat other) {
    requireNonNull(other, "other is null");
    return startedAt == other.startedAt
        && upstream.identifier().equals(other.upstream().identifier());
  }
}
