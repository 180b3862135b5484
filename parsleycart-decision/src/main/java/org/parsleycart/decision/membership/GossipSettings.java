package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Intervals, timeouts and limits of the gossip protocol.
 *
 * @param probeInterval the average time between two probes by one daemon
 * @param probeTimeout the time after which an unacknowledged probe is repeated through other
 *     members; after the same time again the member is suspected
 * @param suspicionTimeout the time that a suspected member has to refute the suspicion before it is
 *     declared dead
 * @param tombstoneAge the time for which records of members that are dead or left are kept
 * @param fanout the number of random members that receive an announcement
 * @param indirectProbes the number of members asked to probe an unresponsive member
 * @param recordsPerMessage the maximum number of whole records in one datagram
 * @param statusesPerMessage the maximum number of statuses without content in one datagram
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
