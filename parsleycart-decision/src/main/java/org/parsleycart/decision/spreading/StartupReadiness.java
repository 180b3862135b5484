package org.parsleycart.decision.spreading;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import org.parsleycart.model.Recency;

/**
 * Decides when a daemon that started without a configuration may serve. Either the platform must
 * have answered or at least two peers must have reported their versions, and the newest version
 * reported by a peer must be in force.
 *
 * <p>Not thread-safe: used by one thread.
 */
public final class StartupReadiness {
  private static final int REQUIRED_PEERS = 2;

  private final Map<String, Recency> peerVersions = new HashMap<>();
  private boolean hasPlatformAnswered;

  // -- events

  /** Records that the platform was read completely. */
  public void recordPlatformAnswer() {
    hasPlatformAnswered = true;
  }

  /** Records how recent the configuration is that a peer holds. */
  public void recordPeerVersion(String peer, Recency held) {
    peerVersions.merge(requireNonNull(peer, "peer is null"), held, Recency::newest);
  }

  // -- decision

  /**
   * Returns whether the daemon may serve.
   *
   * @param own how recent the configuration in force at this daemon is
   * @param knownPeers the number of other known members
   */
  public boolean isReady(Recency own, int knownPeers) {
    if (peerVersions.values().stream().anyMatch(held -> held.isNewerThan(own))) {
      return false;
    }
    boolean hasEnoughPeers =
        knownPeers >= REQUIRED_PEERS
            && peerVersions.size() >= REQUIRED_PEERS
            && own.isNewerThan(Recency.NONE);
    return hasPlatformAnswered || hasEnoughPeers;
  }
}
