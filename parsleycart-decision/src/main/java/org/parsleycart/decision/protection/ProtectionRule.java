package org.parsleycart.decision.protection;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which connections are closed. A pure function of what connections hold.
 *
 * <p>A connection is closed only while its client is awaited and has made too little progress for
 * the stall time. Therefore a client that waits for its response, or that is merely idle between
 * requests, is never closed, and neither is one that sends or reads slowly but steadily. Only when
 * all connections are taken, one that has never been used makes room for another.
 */
public final class ProtectionRule {
  /** A client that opens a connection in order to use it has sent its request by then. */
  private static final Duration MAXIMUM_UNUSED_TIME = Duration.ofMillis(500);

  private final ProtectionLimits limits;

  // -- construction

  public ProtectionRule(ProtectionLimits limits) {
    this.limits = requireNonNull(limits, "limits is null");
  }

  // -- decisions

  /**
   * Returns the connections to close, those that cost most first: all that exceed the maximum stall
   * time, and as many of the stalled ones as exceed the number and bytes that are tolerated.
   */
  public <C> List<C> connectionsToClose(Map<C, ConnectionUsage> usages) {
    List<Map.Entry<C, ConnectionUsage>> stalled =
        usages.entrySet().stream()
            .filter(entry -> entry.getValue().isStalledFor(limits.stallTime()))
            .sorted(byCost())
            .toList();
    long excessBytes =
        usages.values().stream().mapToLong(ConnectionUsage::heldBytes).sum() - limits.heldBytes();
    int excessConnections = stalled.size() - limits.stalledConnections();
    List<C> closed = new ArrayList<>();
    for (Map.Entry<C, ConnectionUsage> entry : stalled) {
      boolean isTooLong = entry.getValue().isStalledFor(limits.maximumStallTime());
      if (isTooLong || excessConnections > 0 || excessBytes > 0) {
        closed.add(entry.getKey());
        excessConnections--;
        excessBytes -= entry.getValue().heldBytes();
      }
    }
    return closed;
  }

  /**
   * Returns the connection that makes room for a new one when all are taken: the stalled one that
   * costs most, else the one that has been unused for longest. Empty if every client is an ordinary
   * one. The new connection is then refused.
   */
  public <C> Optional<C> connectionToReplace(Map<C, ConnectionUsage> usages) {
    return usages.entrySet().stream()
        .filter(entry -> entry.getValue().isStalledFor(limits.stallTime()))
        .min(byCost())
        .or(() -> longestUnused(usages))
        .map(Map.Entry::getKey);
  }

  private static <C> Optional<Map.Entry<C, ConnectionUsage>> longestUnused(
      Map<C, ConnectionUsage> usages) {
    return usages.entrySet().stream()
        .filter(entry -> entry.getValue().isUnusedFor(MAXIMUM_UNUSED_TIME))
        .max(Comparator.comparing(entry -> entry.getValue().withoutProgress()));
  }

  private static <C> Comparator<Map.Entry<C, ConnectionUsage>> byCost() {
    return Comparator.<Map.Entry<C, ConnectionUsage>>comparingDouble(
            entry -> entry.getValue().cost())
        .reversed();
  }
}
