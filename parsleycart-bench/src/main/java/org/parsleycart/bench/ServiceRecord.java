package org.parsleycart.bench;

import java.time.Duration;
import java.util.TreeMap;

/** The calls of a trial and those answered in time, by the second of their arrival. */
final class ServiceRecord {
  private static final Duration SETTLED = Duration.ofSeconds(20);
  private static final int UNFINISHED_SECONDS = 2;

  private final TreeMap<Long, Second> seconds = new TreeMap<>();
  private long attempts;

  private static final class Second {
    private long calls;
    private long answered;
  }

  // -- events

  void called(Duration sinceStart) {
    second(sinceStart).calls++;
  }

  void attempted() {
    attempts++;
  }

  void answered(Duration sinceStart) {
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

  /** Returns the smallest such share over the calls of one second, after a time to settle. */
  double worstSecond() {
    long last = seconds.lastKey() - UNFINISHED_SECONDS;
    return seconds.entrySet().stream()
        .filter(entry -> entry.getKey() >= SETTLED.toSeconds() && entry.getKey() <= last)
        .mapToDouble(entry -> (double) entry.getValue().answered / entry.getValue().calls)
        .min()
        .orElse(0);
  }

  /** Returns the seconds in which fewer calls than the given share were answered in time. */
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
