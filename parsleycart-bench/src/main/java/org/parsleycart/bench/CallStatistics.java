package org.parsleycart.bench;

import java.time.Duration;
import java.util.TreeMap;

/** Counts the calls of a trial and those answered in time, by the second of their arrival. */
final class CallStatistics {
  private static final Duration SETTLING_TIME = Duration.ofSeconds(20);

  /** Calls that arrive in the last seconds of a trial may not be finished at its end. */
  private static final int UNFINISHED_SECONDS = 2;

  private final TreeMap<Long, Second> seconds = new TreeMap<>();
  private long attempts;

  private static final class Second {
    private long calls;
    private long answered;
  }

  // -- events

  void recordCall(Duration sinceStart) {
    second(sinceStart).calls++;
  }

  void recordAttempt() {
    attempts++;
  }

  void recordAnswer(Duration sinceStart) {
    second(sinceStart).answered++;
  }

  private Second second(Duration sinceStart) {
    return seconds.computeIfAbsent(sinceStart.toSeconds(), unused -> new Second());
  }

  // -- results

  private long calls() {
    return seconds.values().stream().mapToLong(second -> second.calls).sum();
  }

  /** Returns the share of all calls that were answered in time. */
  double answeredShare() {
    return (double) seconds.values().stream().mapToLong(second -> second.answered).sum() / calls();
  }

  /**
   * Returns the lowest share of calls answered in time among the seconds of arrival, without those
   * of the settling time and the unfinished ones at the end; 0 if none is left.
   */
  double worstSecondShare() {
    long last = seconds.lastKey() - UNFINISHED_SECONDS;
    return seconds.entrySet().stream()
        .filter(entry -> entry.getKey() >= SETTLING_TIME.toSeconds() && entry.getKey() <= last)
        .mapToDouble(entry -> (double) entry.getValue().answered / entry.getValue().calls)
        .min()
        .orElse(0);
  }

  /**
   * Returns the seconds in which a smaller share of calls than the given one was answered in time,
   * each with its number of missed calls, in a form without commas.
   */
  String secondsBelow(double share) {
    return seconds.entrySet().stream()
        .filter(entry -> entry.getValue().answered < entry.getValue().calls * share)
        .map(entry -> entry.getKey() + ":" + (entry.getValue().calls - entry.getValue().answered))
        .toList()
        .toString()
        .replace(',', ' ');
  }

  double attemptsPerCall() {
    return (double) attempts / calls();
  }
}
