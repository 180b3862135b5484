package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a daemon that started without a configuration may serve. Either the platform must
 * have answered or at least two peers must have reported their versions, and the newest version
 * reported by a peer must be in force.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class StartupReadiness {
  private static final int REQUIRED_PEERS = 2;

  private final Map<String, Long> peerVersions = new HashMap<>();
  private boolean hasPlatformAnswered;

  // -- events

  /** Records that the platform was read completely. */
  public void recordPlatformAnswer() {
    hasPlatformAnswered = true;
  }

  /** Records the version that a peer holds. */
  public void recordPeerVersion(String peer, long version) {
    peerVersions.merge(requireNonNull(peer, "peer is null"), version, Math::max);
  }

  // -- decision

  /**
   * Returns whether the daemon may serve.
   *
   * @param ownVersion the version in force at this daemon
   * @param knownPeers the number of other known members
   */
  public boolean isReady(long ownVersion, int knownPeers) {
    long newestPeerVersion =
        peerVersions.values().stream().mapToLong(Long::longValue).max().orElse(0);
    if (ownVersion < newestPeerVersion) {
      return false;
    }
    boolean hasEnoughPeers =
        knownPeers >= REQUIRED_PEERS && peerVersions.size() >= REQUIRED_PEERS && ownVersion > 0;
    return hasPlatformAnswered || hasEnoughPeers;
  }
}
