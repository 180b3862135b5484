package org.parsleycart.decision.usage;

/** The result of posting a report to the platform. */
public enum PostResult {
  /** The platform has accepted the report. */
  ACCEPTED,
  /** The platform answers and takes no report now. */
  BUSY,
  /** The platform did not answer, or with an error; it may have accepted the report. */
  FAILED
}
