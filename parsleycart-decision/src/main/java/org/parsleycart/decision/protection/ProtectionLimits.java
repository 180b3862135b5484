package org.parsleycart.decision.protection;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The limits on what clients may hold without making progress.
 *
 * @param stallTime how long a client may be without progress when many are
 * @param maximumStallTime how long a client may be without progress at any time
 * @param stalledConnections how many clients may be without progress for the stall time
 * @param heldBytes the bytes that all connections may hold together
 */
public record ProtectionLimits(
    Duration stallTime, Duration maximumStallTime, int stalledConnections, long heldBytes) {

  // -- construction

  public ProtectionLimits {
    requireNonNull(stallTime, "stallTime is null");
    requireNonNull(maximumStallTime, "maximumStallTime is null");
  }
}
