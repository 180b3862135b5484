package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.rollout.RolloutDecision;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.Resource;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Service;

/**
 * Writes the progress of rollouts into the configuration.
 *
 * <p>Each step has one change identifier and is based on the version that the evaluation saw, so
 * that a daemon that was paused cannot apply an outdated decision.
 */
public final class RolloutChangeWriter {
  private static final String AUTHOR = "parsleycart";
  private static final Duration MINIMUM_REASON_INTERVAL = Duration.ofSeconds(5);

  private final MeshState state;
  private final BiConsumer<ConfigurationChange, Optional<Long>> acceptance;
  private Instant nextReason = Instant.MIN;

  // -- construction

  /**
   * Creates the writer.
   *
   * @param acceptance accepts a change based on a version; a failure needs no handling, as the next
   *     decision starts from the configuration in force
   */
  public RolloutChangeWriter(
      MeshState state, BiConsumer<ConfigurationChange, Optional<Long>> acceptance) {
    this.state = requireNonNull(state, "state is null");
    this.acceptance = requireNonNull(acceptance, "acceptance is null");
  }

  // -- changes

  /** Starts a pending rollout. */
  public void start(Rollout rollout, Instant now) {
    Rollout started =
        rollout.withStart(now.toEpochMilli()).withPhase(RolloutPhase.PROGRESSING, "started");
    write(rollout, "begin", List.of(started));
  }

  /** Increases the share of the new version. */
  public void advance(Rollout rollout, RolloutDecision.IncreaseShare decision) {
    write(rollout, "share-" + decision.sharePerMille(), List.of(decision.applyTo(rollout)));
  }

  /** Sends all traffic to the new version and keeps the old one ready. */
  public void startSoak(Rollout rollout, RolloutDecision.Soak decision) {
    write(rollout, "soak", List.of(decision.applyTo(rollout)));
  }

  /**
   * Completes the rollout and makes its version the version of the service, if the service names
   * one.
   */
  public void complete(Rollout rollout, RolloutDecision.Complete decision, Service service) {
    Rollout completed = decision.applyTo(rollout);
    // A service that names no version uses the version of its last completed rollout.
    List<Resource> upserts =
        service.version().isPresent()
            ? List.of(completed, service.withVersion(rollout.version()))
            : List.of(completed);
    write(rollout, "done", upserts);
  }

  /**
   * Records for operators why a rollout does not advance, if the reason has changed; at most every
   * five seconds.
   */
  public void recordReason(Rollout rollout, String reason, Instant now) {
    if (rollout.reason().equals(reason) || now.isBefore(nextReason)) {
      return;
    }
    nextReason = now.plus(MINIMUM_REASON_INTERVAL);
    Rollout withReason = rollout.withPhase(rollout.phase(), reason);
    write(rollout, "tell-" + now.toEpochMilli(), List.of(withReason));
  }

  private void write(Rollout rollout, String step, List<Resource> upserts) {
    if (!state.configuration().rollout(rollout.name()).equals(Optional.of(rollout))) {
      return;
    }
    String identifier = "rollout-" + rollout.name() + "-" + rollout.startedAt() + "-" + step;
    long seenVersion = state.configuration().version();
    acceptance.accept(
        new ConfigurationChange(identifier, AUTHOR, upserts, List.of()), Optional.of(seenVersion));
  }
}
