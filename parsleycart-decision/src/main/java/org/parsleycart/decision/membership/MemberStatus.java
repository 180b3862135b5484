package org.parsleycart.decision.membership;

import java.util.Optional;
import java.util.stream.Stream;

/** What is believed of a member; at equal incarnation and sequence the later constant wins. */
public enum MemberStatus {
  /** Announced by the member itself. */
  ALIVE(0, "alive", true),
  /** Failed to acknowledge probes; takes no new calls and may refute. */
  SUSPECTED(1, "suspected", true),
  /** Did not refute the suspicion in time. */
  DEAD(2, "dead", false),
  /** Announced its own planned stop. */
  LEFT(3, "left", false);

  private final int code;
  private final String label;
  private final boolean present;

  MemberStatus(int code, String label, boolean present) {
    this.code = code;
    this.label = label;
    this.present = present;
  }

  /** Returns whether the member still counts as a part of the fleet. */
  public boolean isPresent() {
    return present;
  }

  /** Returns the number that stands for this status in messages. */
  public int code() {
    return code;
  }

  /** Returns the status with the given code. */
  public static Optional<MemberStatus> ofCode(long code) {
    return Stream.of(values()).filter(status -> status.code == code).findFirst();
  }

  @Override
  public String toString() {
    return label;
  }
}
