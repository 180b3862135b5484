package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The pace of probes and gossip.
 *
 * @param probeInterval the time between two probes that a daemon sends
 * @param probeTimeout the time after which an unacknowledged probe is tried through others, and
 *     after twice of which the member is suspected
 * @param suspicionTimeout the time that a suspected member has to refute
 * @param tombstoneAge how long dead members are remembered
 * @param fanout how many members hear of a new version at once
 * @param indirectProbes through how many others an unacknowledged member is probed
 * @param recordsPerMessage the most whole records in one datagram
 * @param statusesPerMessage the most statuses without content in one datagram
 */
public record GossipSettings(
    Duration probeInterval,
    Duration probeTimeout,
    Duration suspicionTimeout,
    Duration tombstoneAge,
    int fanout,
    int indirectProbes,
    int recordsPerMessage,
    int statusesPerMessage) {

  // -- construction

  public GossipSettings {
    requireNonNull(probeInterval, "probeInterval is null");
    requireNonNull(probeTimeout, "probeTimeout is null");
    requireNonNull(suspicionTimeout, "suspicionTimeout is null");
    requireNonNull(tombstoneAge, "tombstoneAge is null");
  }

  /** Returns the settings for a fleet of any size. */
  public static GossipSettings standard() {
    return new GossipSettings(
        Duration.ofMillis(500),
        Duration.ofMillis(300),
        Duration.ofSeconds(3),
        Duration.ofHours(1),
        4,
        3,
        3,
        12);
  }
}
