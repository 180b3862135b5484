package org.parsleycart.decision.membership;

import java.util.Optional;
import java.util.stream.Stream;

/** The status of a member. At equal incarnation and sequence, the constant declared later wins. */
public enum MemberStatus {
  /** Announced by the member itself. */
  ALIVE(0, "alive", true),
  /** Did not acknowledge probes. Receives no new calls and may refute the suspicion. */
  SUSPECTED(1, "suspected", true),
  /** Did not refute the suspicion within the timeout. */
  DEAD(2, "dead", false),
  /** Announced its own planned shutdown. */
  LEFT(3, "left", false);

  private final int code;
  private final String label;
  private final boolean isPresent;

  MemberStatus(int code, String label, boolean isPresent) {
    this.code = code;
    this.label = label;
    this.isPresent = isPresent;
  }

  /** Returns whether a member with this status counts as part of the fleet. */
  public boolean isPresent() {
    return isPresent;
  }

  /** Returns the number that represents this status in messages. */
  public int code() {
    return code;
  }

  /** Returns the status with the given code, or empty when the code is unknown. */
  public static Optional<MemberStatus> ofCode(long code) {
    return Stream.of(values()).filter(status -> status.code == code).findFirst();
  }

  @Override
  public String toString() {
    return label;
  }
}
