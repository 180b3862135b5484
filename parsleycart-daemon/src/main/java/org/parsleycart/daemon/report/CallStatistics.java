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

/** Counts the calls to the upstreams beside this daemon, for decisions on rollouts. */
public final class CallStatistics {
  /** Calls of further series are not counted. */
  private static final int MAXIMUM_SERIES = 1024;

  private final Map<Series, Counts> counts = new ConcurrentHashMap<>();

  /**
   * The calls that are counted together.
   *
   * @param version the version of the upstream
   * @param route the name of the route
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

  public void recordFailure(Series series) {
    Counts seriesCounts = countsOf(series);
    if (seriesCounts != null) {
      seriesCounts.failed().increment();
    }
  }

  /**
   * Counts a call that was answered.
   *
   * @param includeLatency whether to count the latency; false while the upstream is in cold start
   */
  public void recordAnswer(Series series, Duration latency, boolean includeLatency) {
    Counts seriesCounts = countsOf(series);
    if (seriesCounts == null) {
      return;
    }
    seriesCounts.answered().increment();
    if (includeLatency) {
      seriesCounts.latencies().incrementAndGet(LatencyBuckets.indexOf(latency));
    }
  }

  private Counts countsOf(Series series) {
    Counts seriesCounts = counts.get(requireNonNull(series, "series is null"));
    return seriesCounts == null && counts.size() < MAXIMUM_SERIES
        ? counts.computeIfAbsent(series, unused -> new Counts())
        : seriesCounts;
  }

  // -- queries

  /** Returns the counts of a service, one element for each version and route. */
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
