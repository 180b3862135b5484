package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers upstreams that have deregistered, so that a heartbeat sent before the deregistration
 * and delivered after it does not register them again. Not thread-safe: guarded by the lock of its
 * owner.
 */
public final class DepartedUpstreams {
  /** More upstreams than run beside one daemon in a day. The oldest entry is evicted first. */
  private static final int MAXIMUM_REMEMBERED = 64;

  private final Map<String, Long> departedProcessStarts = new LinkedHashMap<>();

  // -- events

  /**
   * Records that an upstream has left.
   *
   * @param lastHeartbeat the last heartbeat of the upstream, empty when none was received
   * @param now the current time; without a last heartbeat, only a process that starts later can
   *     register again
   */
  public void recordDeparture(
      String identifier, Optional<UpstreamHeartbeat> lastHeartbeat, Instant now) {
    requireNonNull(identifier, "identifier is null");
    departedProcessStarts.remove(identifier);
    departedProcessStarts.put(
        identifier, lastHeartbeat.map(UpstreamHeartbeat::startedAt).orElseGet(now::toEpochMilli));
    if (departedProcessStarts.size() > MAXIMUM_REMEMBERED) {
      departedProcessStarts.remove(departedProcessStarts.keySet().iterator().next());
    }
  }

  // -- queries

  /** Returns whether the heartbeat comes from a process that has left. */
  public boolean hasLeft(UpstreamHeartbeat heartbeat) {
    requireNonNull(heartbeat, "heartbeat is null");
    Long departedStart = departedProcessStarts.get(heartbeat.upstream().identifier());
    return departedStart != null && heartbeat.startedAt() <= departedStart;
  }
}
