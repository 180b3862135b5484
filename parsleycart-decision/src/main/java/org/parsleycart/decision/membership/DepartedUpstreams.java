package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The upstreams that said that they leave, so that a heartbeat sent before that and delivered after
 * it does not bring them back. Used under the lock of its owner.
 */
public final class DepartedUpstreams {
  /** More upstreams than run beside one daemon in a day; the oldest is forgotten first. */
  private static final int MOST_REMEMBERED = 64;

  private final Map<String, Long> startOfDeparted = new LinkedHashMap<>();

  // -- events

  /**
   * Takes note that an upstream has left.
   *
   * @param identifier its identifier
   * @param last its last heartbeat, if one was seen
   * @param now the time of day; without a heartbeat, a process started later is another one
   */
  public void recordDeparture(String identifier, Optional<UpstreamHeartbeat> last, Instant now) {
    requireNonNull(identifier, "identifier is null");
    startOfDeparted.remove(identifier);
    startOfDeparted.put(
        identifier, last.map(UpstreamHeartbeat::startedAt).orElseGet(now::toEpochMilli));
    if (startOfDeparted.size() > MOST_REMEMBERED) {
      startOfDeparted.remove(startOfDeparted.keySet().iterator().next());
    }
  }

  // -- queries

  /** Returns whether the process that sent the heartbeat has left. */
  public boolean hasLeft(UpstreamHeartbeat heartbeat) {
    requireNonNull(heartbeat, "heartbeat is null");
    Long start = startOfDeparted.get(heartbeat.upstream().identifier());
    return start != null && heartbeat.startedAt() <= start;
  }
}
