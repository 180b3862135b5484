package org.parsleycart.daemon.report;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.parsleycart.decision.message.CallCounts;

/** The calls seen beside the upstreams of this daemon, for the judges of rollouts. */
public final class CallEvidence {
  private static final int MOST_SERIES = 4096;

  private final Map<Series, Counts> counts = new ConcurrentHashMap<>();

  private record Series(String service, String version, String route) {}

  private record Counts(LongAdder good, LongAdder slow, LongAdder failed) {
    Counts() {
      this(new LongAdder(), new LongAdder(), new LongAdder());
    }
  }

  /** How one call counts. */
  public enum Verdict {
    GOOD {
      @Override
      void addTo(Counts counts) {
        counts.good().increment();
      }
    },
    SLOW {
      @Override
      void addTo(Counts counts) {
        counts.slow().increment();
      }
    },
    FAILED {
      @Override
      void addTo(Counts counts) {
        counts.failed().increment();
      }
    };

    abstract void addTo(Counts counts);
  }

  // -- events

  /** Counts a call. */
  public void record(String service, String version, String route, Verdict verdict) {
    requireNonNull(verdict, "verdict is null");
    Series series = new Series(service, version, route);
    Counts held = counts.get(series);
    if (held == null && counts.size() < MOST_SERIES) {
      held = counts.computeIfAbsent(series, unused -> new Counts());
    }
    if (held != null) {
      verdict.addTo(held);
    }
  }

  // -- queries

  /** Returns the calls of all versions of a service. */
  public List<CallCounts> of(String service) {
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
        counts.good().sum(),
        counts.slow().sum(),
        counts.failed().sum());
  }
}
