package org.parsleycart.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What a simulated fleet did after its warm-up. */
final class FleetFigures {
  private static final double HIGH_PERCENTILE = 0.99;

  private final List<Double> waits = new ArrayList<>();
  private final List<int[]> queues = new ArrayList<>();
  private long calls;
  private long arrivals;
  private long avoidableWaits;
  private long answersInTime;
  private long refusals;
  private long attempts;
  private long localAttempts;

  // -- events

  void recordCall(boolean isMeasured) {
    calls += isMeasured ? 1 : 0;
  }

  void recordArrival(boolean waitsWhileASlotIsIdleElsewhere) {
    arrivals++;
    avoidableWaits += waitsWhileASlotIsIdleElsewhere ? 1 : 0;
  }

  void recordWait(double milliseconds) {
    waits.add(milliseconds);
  }

  void recordAnswer(boolean isMeasured, boolean isInTime) {
    answersInTime += isMeasured && isInTime ? 1 : 0;
  }

  void recordRefusal(boolean isMeasured) {
    refusals += isMeasured ? 1 : 0;
  }

  void recordZone(boolean isMeasured, boolean isLocal) {
    attempts += isMeasured ? 1 : 0;
    localAttempts += isMeasured && isLocal ? 1 : 0;
  }

  void sampleQueues(int[] queueLengths) {
    queues.add(queueLengths);
  }

  // -- queries

  /** Returns the share of calls that wait although a slot is idle at another upstream. */
  double avoidableWaitShare() {
    return avoidableWaits / (double) arrivals;
  }

  /** Returns the 99th percentile of the time that calls wait for a slot. */
  double highWaitMilliseconds() {
    List<Double> sorted = waits.stream().sorted().toList();
    return sorted.get((int) (sorted.size() * HIGH_PERCENTILE));
  }

  double meanWaitMilliseconds() {
    return waits.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  /** Returns the standard deviation over time of the queue of an upstream, averaged over them. */
  double queueSwing() {
    int upstreams = queues.get(0).length;
    double sum = 0;
    for (int upstream = 0; upstream < upstreams; upstream++) {
      int index = upstream;
      double mean = queues.stream().mapToInt(each -> each[index]).average().orElse(0);
      double variance =
          queues.stream().mapToDouble(each -> Math.pow(each[index] - mean, 2)).average().orElse(0);
      sum += Math.sqrt(variance);
    }
    return sum / upstreams;
  }

  /** Returns the answers in time as a share of the calls. */
  double answeredShare() {
    return answersInTime / (double) calls;
  }

  double localShare() {
    return localAttempts / (double) attempts;
  }

  // -- Object

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%d calls, %.1f%% wait while a slot is idle elsewhere, wait p99 %.0f ms mean %.1f ms,"
            + " queue swing %.2f, %.2f%% answered in time, %d refused, %.0f%% in the local zone",
        calls,
        100 * avoidableWaitShare(),
        highWaitMilliseconds(),
        meanWaitMilliseconds(),
        queueSwing(),
        100 * answeredShare(),
        refusals,
        100 * localShare());
  }
}
