package org.parsleycart.daemon.control;

import java.time.Duration;
import java.util.concurrent.atomic.LongAdder;

/** The figures of the usage duty for the metrics of a daemon. Thread-safe. */
public final class UsageStatistics {
  private static final double MILLISECONDS_PER_SECOND = 1000;

  private final LongAdder reports = new LongAdder();
  private final LongAdder failures = new LongAdder();
  private final LongAdder missing = new LongAdder();
  private final LongAdder abandoned = new LongAdder();
  private volatile long token;
  private volatile double reportAgeSeconds;

  // -- events

  void setToken(long newToken) {
    token = newToken;
  }

  void recordReport(Duration age) {
    reports.increment();
    reportAgeSeconds = age.toMillis() / MILLISECONDS_PER_SECOND;
  }

  void recordFailure() {
    failures.increment();
  }

  void recordMissing(int daemons) {
    missing.add(daemons);
  }

  void recordAbandoned(long windows) {
    abandoned.add(windows);
  }

  // -- queries

  /** Returns the fencing token of the lease, 0 while this daemon does not hold it. */
  public long token() {
    return token;
  }

  /** Returns how old the last reported window was when it was accepted. */
  public double reportAgeSeconds() {
    return reportAgeSeconds;
  }

  public long reports() {
    return reports.sum();
  }

  public long failures() {
    return failures.sum();
  }

  /** Returns how many daemons' counts were missing from reports. */
  public long missing() {
    return missing.sum();
  }

  /** Returns how many windows were never reported. */
  public long abandoned() {
    return abandoned.sum();
  }
}
