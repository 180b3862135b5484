package org.parsleycart.decision.usage;

/** One call to the store or to the platform that the duty asks for next. */
public sealed interface DutyOperation {

  /** Reads the lease row. */
  record ReadLease() implements DutyOperation {}

  /**
   * Writes the lease row.
   *
   * @param revision the revision that the row must have; 0 if there must be no row
   */
  record WriteLease(LeaseRecord content, long revision) implements DutyOperation {}

  /** Reads the stored report of a window. */
  record ReadReport(long window) implements DutyOperation {}

  /** Stores the report of a window from the gathered counts, unless one is stored. */
  record InsertReport(long window) implements DutyOperation {}

  /** Posts the stored report of a window. */
  record PostReport(long window, long token, String content) implements DutyOperation {}

  /** Gives up windows that are too old. */
  record AbandonWindows(long first, long last) implements DutyOperation {}
}
