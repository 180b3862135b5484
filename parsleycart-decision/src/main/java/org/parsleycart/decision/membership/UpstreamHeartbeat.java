package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What an upstream said of itself at one moment.
 *
 * @param upstream the upstream as it is announced to other daemons
 * @param address where it takes requests, {@code host:port}
 * @param startedAt the start of its process in milliseconds since the epoch, 0 when not told
 * @param sequence counts the heartbeats of one process, so that a late one is recognized
 * @param remainingColdTime how much longer it stays cold
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

  /** Returns whether this was said after the other, by the same process or by a later one. */
  public boolean isNewerThan(UpstreamHeartbeat other) {
    requireNonNull(other, "other is null");
    boolean sameProcess = startedAt == other.startedAt;
    return sameProcess ? sequence > other.sequence : startedAt > other.startedAt;
  }

  /** Returns whether this is from the process that the other is from. */
  public boolean isFromSameProcessAs(UpstreamHeartbeat other) {
    requireNonNull(other, "other is null");
    return startedAt == other.startedAt
        && upstream.identifier().equals(other.upstream().identifier());
  }
}
