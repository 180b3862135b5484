package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.routing.Candidate;

/** Predicts whether the other zones can sustain the load of a zone that is to be withdrawn. */
public final class ZoneCapacity {
  /** The maximum share of the remaining slots that may be in use after the withdrawal. */
  private static final double MAXIMUM_UTILIZATION = 0.9;

  private final MeshState state;
  private final LoadEstimates loads;

  /**
   * Estimates the calls in flight at an upstream from the load reports that this daemon has
   * received.
   */
  @FunctionalInterface
  public interface LoadEstimates {
    /** Returns the estimated number of busy slots of the upstream. */
    double busySlots(Candidate candidate);
  }

  /**
   * The predicted effect of a withdrawal.
   *
   * @param shortfalls one line for each service that would have too few slots
   */
  public record Forecast(List<String> shortfalls) {
    public Forecast {
      shortfalls = List.copyOf(shortfalls);
    }

    /** Returns whether every service would have enough slots. */
    public boolean isSufficient() {
      return shortfalls.isEmpty();
    }
  }

  // -- construction

  public ZoneCapacity(MeshState state, LoadEstimates loads) {
    this.state = requireNonNull(state, "state is null");
    this.loads = requireNonNull(loads, "loads is null");
  }

  // -- queries

  /** Predicts the effect of withdrawing a zone on the services that have upstreams there. */
  public Forecast forecastWithdrawal(String zone) {
    requireNonNull(zone, "zone is null");
    Map<String, List<Candidate>> byService =
        state
            .directory()
            .all()
            .collect(
                Collectors.groupingBy(
                    candidate -> candidate.upstream().service(),
                    TreeMap::new,
                    Collectors.toList()));
    List<String> shortfalls =
        byService.entrySet().stream()
            .filter(entry -> hasUpstreamIn(entry.getValue(), zone))
            .filter(entry -> !hasEnoughSlots(entry.getValue(), zone))
            .map(entry -> describeShortfall(entry.getKey(), entry.getValue(), zone))
            .toList();
    return new Forecast(shortfalls);
  }

  private static boolean hasUpstreamIn(List<Candidate> upstreams, String zone) {
    return upstreams.stream().anyMatch(candidate -> candidate.zone().equals(zone));
  }

  private boolean hasEnoughSlots(List<Candidate> upstreams, String zone) {
    int slots = remainingSlots(upstreams, zone);
    return slots > 0 && busySlots(upstreams) <= slots * MAXIMUM_UTILIZATION;
  }

  private String describeShortfall(String service, List<Candidate> upstreams, String zone) {
    return "%s: %.0f slots in use, %d slots outside %s"
        .formatted(service, busySlots(upstreams), remainingSlots(upstreams, zone), zone);
  }

  private static int remainingSlots(List<Candidate> upstreams, String zone) {
    return upstreams.stream()
        .filter(candidate -> !candidate.zone().equals(zone))
        .mapToInt(candidate -> candidate.upstream().slots())
        .sum();
  }

  private double busySlots(List<Candidate> upstreams) {
    return upstreams.stream().mapToDouble(loads::busySlots).sum();
  }
}
