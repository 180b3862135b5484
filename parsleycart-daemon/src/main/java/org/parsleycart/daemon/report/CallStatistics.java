package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.rollout.LatencyBuckets;

/** The calls seen beside the upstreams of this daemon, for the judges of rollouts. */
public final class CallStatistics {
  private static final int MOST_SERIES = 1024;

  private final Map<Series, Counts> counts = new ConcurrentHashMap<>();

  /**
   * What calls are counted together.
   *
   * @param service the service
   * @param version the version of the upstream
   * @param route the route
   */
  public record Series(String service, String version, String route) {
    public Series {
      requireNonNull(service, "service is null");
      requireNonNull(version, "version is null");
      requireNonNull(route, "route is null");
    }
  }

  private record Counts(LongAdder answered, LongAdder failed, AtomicLongArray latencies) {
    Counts() {
      this(new LongAdder(), new LongAdder(), new AtomicLongArray(LatencyBuckets.COUNT));
    }
  }

  // -- events

  /** Counts a call that failed. */
  public void recordFailure(Series series) {
    Counts held = countsOf(series);
    if (held != null) {
      held.failed().increment();
    }
  }

  /** Counts a call that was answered; its latency counts when the upstream is past cold start. */
  public void recordAnswer(Series series, Duration latency, boolean latencyCounts) {
    Counts held = countsOf(series);
    if (held == null) {
      return;
    }
    held.answered().increment();
    if (latencyCounts) {
      held.latencies().incrementAndGet(LatencyBuckets.indexOf(latency));
    }
  }

  private Counts countsOf(Series series) {
    Counts held = counts.get(requireNonNull(series, "series is null"));
    return held == null && counts.size() < MOST_SERIES
        ? counts.computeIfAbsent(series, unused -> new Counts())
        : held;
  }

  // -- queries

  /** Returns the calls of all versions of a service. */
  public List<CallCounts> forService(String service) {
    requireNonNull(service, "service is null");
    return counts.entrySet().stream()
        .filter(entry -> entry.getKey().service().equals(service))
        .map(entry -> toCallCounts(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static CallCounts toCallCounts(Series series, Counts counts) {
    return new CallCounts(
        series.version(),
        series.route(),
        counts.answered().sum(),
        counts.failed().sum(),
        IntStream.range(0, LatencyBuckets.COUNT).mapToObj(counts.latencies()::get).toList());
  }
}
