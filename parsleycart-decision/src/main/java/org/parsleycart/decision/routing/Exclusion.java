package org.parsleycart.decision.routing;

import java.util.Optional;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.MemberRecord;

/** Why an upstream of a service gets no call now. */
public enum Exclusion {
  DAEMON_SUSPECTED("daemon-suspected"),
  DAEMON_DEAD("daemon-dead"),
  DAEMON_LEFT("daemon-left"),
  DRAINING("draining"),
  ZONE_WITHDRAWN("zone-withdrawn"),
  /** No call is assigned to its version. */
  OTHER_VERSION("other-version"),
  /** Its version gets calls only if the selected ones have no upstream. */
  FALLBACK_VERSION("fallback-version"),
  /** The call has already tried it. */
  TRIED("tried"),
  /** It stated in an answer that it leaves. */
  LEAVING("leaving"),
  /** It failed or refused calls of this daemon lately. */
  EJECTED("ejected");

  private final String label;

  Exclusion(String label) {
    this.label = label;
  }

  /**
   * Returns why {@link UpstreamDirectory} omits an upstream, empty if it holds it.
   *
   * @param isZoneWithdrawn whether the zone of the daemon beside the upstream is withdrawn
   */
  static Optional<Exclusion> fromDirectory(
      MemberRecord member, AnnouncedUpstream upstream, boolean isZoneWithdrawn) {
    return switch (member.status()) {
      case SUSPECTED -> Optional.of(DAEMON_SUSPECTED);
      case DEAD -> Optional.of(DAEMON_DEAD);
      case LEFT -> Optional.of(DAEMON_LEFT);
      case ALIVE -> {
        if (upstream.draining()) {
          yield Optional.of(DRAINING);
        }
        yield isZoneWithdrawn ? Optional.of(ZONE_WITHDRAWN) : Optional.empty();
      }
    };
  }

  @Override
  public String toString() {
    return label;
  }
}
