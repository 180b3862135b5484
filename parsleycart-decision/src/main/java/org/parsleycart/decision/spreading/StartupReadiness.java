package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a daemon that started with nothing may serve: once the platform has answered, or
 * several peers have told their heads, and the largest version told is in force here.
 *
 * <p>Used by one thread.
 */
public final class StartupReadiness {
  private static final int PEERS_NEEDED = 2;

  private final Map<String, Long> peerVersions = new HashMap<>();
  private boolean platformAnswered;

  // -- events

  /** Takes note that the platform was read up to its end. */
  public void recordPlatformAnswer() {
    platformAnswered = true;
  }

  /** Takes note of the version that a peer holds. */
  public void recordPeerVersion(String peer, long version) {
    peerVersions.merge(requireNonNull(peer, "peer is null"), version, Math::max);
  }

  // -- decision

  /**
   * Returns whether the daemon may serve.
   *
   * @param ownVersion the version in force here
   * @param knownPeers the number of other members known
   */
  public boolean isReady(long ownVersion, int knownPeers) {
    long largest = peerVersions.values().stream().mapToLong(Long::longValue).max().orElse(0);
    if (ownVersion < largest) {
      return false;
    }
    boolean enoughPeers =
        knownPeers >= PEERS_NEEDED && peerVersions.size() >= PEERS_NEEDED && ownVersion > 0;
    return platformAnswered || enoughPeers;
  }
}
