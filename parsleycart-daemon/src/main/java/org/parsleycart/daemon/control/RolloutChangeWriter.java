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
 * Writes the steps of rollouts into the configuration. Each step has one change identifier and is
 * based on the version that the judge saw, so that a judge that was paused changes nothing.
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
   * @param state the configuration in force
   * @param acceptance accepts a change based on a version; a failure shows in the configuration,
   *     from which the next decision starts
   */
  public RolloutChangeWriter(
      MeshState state, BiConsumer<ConfigurationChange, Optional<Long>> acceptance) {
    this.state = requireNonNull(state, "state is null");
    this.acceptance = requireNonNull(acceptance, "acceptance is null");
  }

  // -- changes

  /** Starts a rollout that was ordered. */
  public void start(Rollout rollout, Instant now) {
    Rollout started =
        rollout.withStart(now.toEpochMilli()).withPhase(RolloutPhase.PROGRESSING, "started");
    write(rollout, "begin", List.of(started));
  }

  /** Carries out a step forward. */
  public void advance(Rollout rollout, RolloutDecision.Step decision) {
    write(rollout, "share-" + decision.sharePerMille(), List.of(decision.applyTo(rollout)));
  }

  /** Gives the new version all traffic and keeps the old one ready. */
  public void startSoak(Rollout rollout, RolloutDecision.Soak decision) {
    write(rollout, "soak", List.of(decision.applyTo(rollout)));
  }

  /** Puts the new version in charge. */
  public void complete(Rollout rollout, RolloutDecision.Complete decision, Service service) {
    Rollout completed = decision.applyTo(rollout);
    // A service without a version in charge follows its last rollout.
    List<Resource> upserts =
        service.version().isPresent()
            ? List.of(completed, service.withVersion(rollout.version()))
            : List.of(completed);
    write(rollout, "done", upserts);
  }

  /** Tells operators why a rollout stays, when that is news. */
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
