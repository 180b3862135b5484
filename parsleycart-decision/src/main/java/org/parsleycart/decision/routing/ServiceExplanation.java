package org.parsleycart.decision.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleycart.model.Rollout;

/**
 * Where the calls of a route to one of its services would go now.
 *
 * @param weight the weight of the service among those of the route
 * @param rollout the rollout that assigns calls to versions of the service
 * @param versions the choices of versions that calls get
 * @param upstreams all known upstreams of the service
 * @param withoutUpstreamPerMille how many of a thousand calls would find no upstream
 */
public record ServiceExplanation(
    String service,
    long weight,
    Optional<Rollout> rollout,
    List<Versions> versions,
    List<Upstream> upstreams,
    int withoutUpstreamPerMille) {

  public ServiceExplanation {
    requireNonNull(service, "service is null");
    requireNonNull(rollout, "rollout is null");
    versions = List.copyOf(versions);
    upstreams = List.copyOf(upstreams);
  }

  /**
   * A choice of versions.
   *
   * @param perMille how many of a thousand calls get this choice
   */
  public record Versions(VersionChoice choice, int perMille) {
    public Versions {
      requireNonNull(choice, "choice is null");
    }
  }

  /**
   * An upstream of the service.
   *
   * @param exclusion why it gets no calls, empty if it may get them
   * @param outstandingCalls the calls that it runs or queues, as far as this daemon knows
   * @param utilization the share of its concurrency limit in use with one more call
   * @param reportAge the time since its last load report, empty if there was none
   * @param chosenPerMille how many of a thousand calls would be sent to it
   * @param view how the selection compares it, empty if it does not
   */
  public record Upstream(
      Candidate candidate,
      Optional<Exclusion> exclusion,
      int outstandingCalls,
      double utilization,
      Optional<Duration> reportAge,
      int chosenPerMille,
      Optional<CandidateView> view) {
    public Upstream {
      requireNonNull(candidate, "candidate is null");
      requireNonNull(exclusion, "exclusion is null");
      requireNonNull(reportAge, "reportAge is null");
      requireNonNull(view, "view is null");
    }
  }
}
