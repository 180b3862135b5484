package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.RendezvousHash;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.message.ControlMessage.EvidenceAnswer;
import org.parsleycart.decision.message.ControlMessage.EvidenceRequest;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.message.VersionLoad;
import org.parsleycart.decision.rollout.RolloutDecision;
import org.parsleycart.decision.rollout.RolloutEvaluator;
import org.parsleycart.decision.routing.VersionSelector;
import org.parsleycart.link.FrameClient;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.parsleycart.model.Rollout;
import org.parsleycart.model.RolloutPhase;
import org.parsleycart.model.Service;
import org.tinylog.Logger;

/**
 * Evaluates the active rollouts for which this daemon is responsible.
 *
 * <p>Each rollout has one responsible daemon, chosen by rendezvous hashing among the daemons that
 * have upstreams of the service, or among all daemons if there are none.
 */
public final class RolloutWorker {
  private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(500);
  private static final Duration EVIDENCE_TIMEOUT = Duration.ofMillis(400);
  private static final Duration DEFAULT_LATENCY_OBJECTIVE = Duration.ofSeconds(1);

  private final MeshState state;
  private final GossipWorker gossip;
  private final PlatformWorker platformWorker;
  private final RolloutChangeWriter changeWriter;
  private final LocalEvidence localEvidence;
  private final FrameClient frameClient;
  private final InstantSource clock;
  private final Map<String, Evaluation> evaluations = new HashMap<>();
  private final WorkerLoop loop;

  private record Evaluation(long startedAt, RolloutEvaluator evaluator) {}

  // -- construction

  /** Creates the worker; {@link #start} starts its thread. */
  public RolloutWorker(
      MeshState state,
      GossipWorker gossip,
      PlatformWorker platformWorker,
      RolloutChangeWriter changeWriter,
      LocalEvidence localEvidence,
      FrameClient frameClient,
      InstantSource clock) {
    this.state = requireNonNull(state, "state is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.platformWorker = requireNonNull(platformWorker, "platformWorker is null");
    this.changeWriter = requireNonNull(changeWriter, "changeWriter is null");
    this.localEvidence = requireNonNull(localEvidence, "localEvidence is null");
    this.frameClient = requireNonNull(frameClient, "frameClient is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.loop = new WorkerLoop("rollouts", this::step, state.workers());
  }

  public void start() {
    loop.start();
  }

  /** Stops the worker after its current step. */
  public void stop() {
    loop.stop();
  }

  // -- operation

  private void step() {
    LockSupport.parkNanos(EVALUATION_INTERVAL.toNanos());
    Configuration configuration = state.configuration();
    List<Rollout> active =
        configuration.rollouts().stream().filter(each -> each.phase().isActive()).toList();
    evaluations.keySet().retainAll(active.stream().map(Rollout::name).collect(Collectors.toSet()));
    active.forEach(rollout -> evaluate(configuration, rollout));
  }

  private void evaluate(Configuration configuration, Rollout rollout) {
    Optional<Service> service = rollout.target(configuration);
    if (service.isEmpty() || state.facts().rejection(rollout).isPresent()) {
      return;
    }
    List<String> reporters = reporters(service.get());
    if (!isResponsible(rollout, reporters)) {
      evaluations.remove(rollout.name());
      return;
    }
    if (rollout.phase() == RolloutPhase.PENDING) {
      changeWriter.start(rollout, clock.instant());
      return;
    }
    RolloutEvaluator evaluator = evaluatorFor(configuration, rollout, service.get());
    observe(evaluator, service.get(), reporters);
    apply(rollout, service.get(), evaluator.decide(rollout, clock.instant()));
  }

  private List<String> reporters(Service service) {
    return gossip
        .view()
        .alive()
        .filter(
            member ->
                member.upstreams().stream()
                    .anyMatch(upstream -> upstream.service().equals(service.name())))
        .map(MemberRecord::identifier)
        .sorted()
        .toList();
  }

  private boolean isResponsible(Rollout rollout, List<String> reporters) {
    Stream<String> eligible =
        reporters.isEmpty()
            ? gossip.view().alive().map(MemberRecord::identifier)
            : reporters.stream();
    String self = gossip.view().self().identifier();
    return RendezvousHash.owner(eligible, rollout.reference().toString()).equals(Optional.of(self));
  }

  private RolloutEvaluator evaluatorFor(
      Configuration configuration, Rollout rollout, Service service) {
    Evaluation current = evaluations.get(rollout.name());
    if (current != null && current.startedAt() == rollout.startedAt()) {
      return current.evaluator();
    }
    Logger.info("evaluating rollout {}", rollout.name());
    VersionSelector oldVersions =
        service
            .version()
            .map(VersionSelector::only)
            .orElseGet(() -> VersionSelector.allExcept(Set.of(rollout.version())));
    RolloutEvaluator evaluator =
        new RolloutEvaluator(rollout, oldVersions, route -> latencyObjective(configuration, route));
    evaluations.put(rollout.name(), new Evaluation(rollout.startedAt(), evaluator));
    return evaluator;
  }

  private static Duration latencyObjective(Configuration configuration, String routeName) {
    return configuration
        .contractOfRoute(routeName)
        .map(Contract::latencyObjective)
        .orElse(DEFAULT_LATENCY_OBJECTIVE);
  }

  private void observe(RolloutEvaluator evaluator, Service service, List<String> reporters) {
    Map<String, List<CallCounts>> counts = new HashMap<>();
    Map<String, List<VersionLoad>> loads = new HashMap<>();
    for (String reporter : reporters) {
      fetchEvidence(reporter, service)
          .ifPresent(
              answer -> {
                counts.put(reporter, answer.counts());
                loads.put(reporter, answer.loads());
              });
    }
    evaluator.observe(counts, loads, clock.instant());
  }

  private Optional<EvidenceAnswer> fetchEvidence(String reporter, Service service) {
    if (reporter.equals(gossip.view().self().identifier())) {
      return Optional.of(localEvidence.forService(service.name()));
    }
    return frameClient
        .send(reporter, new EvidenceRequest(service.name()), EVIDENCE_TIMEOUT)
        .toJavaOptional()
        .filter(EvidenceAnswer.class::isInstance)
        .map(EvidenceAnswer.class::cast);
  }

  private void apply(Rollout rollout, Service service, RolloutDecision decision) {
    if (decision instanceof RolloutDecision.RollBack rollBack) {
      UrgentFact fact = state.facts().reject(rollout, rollBack.reason());
      platformWorker.announceUrgentFact(fact);
      Logger.info("rollout {} rejected, rolling back: {}", rollout.name(), rollBack.reason());
    } else if (decision instanceof RolloutDecision.IncreaseShare increaseShare) {
      changeWriter.advance(rollout, increaseShare);
    } else if (decision instanceof RolloutDecision.Soak soak) {
      changeWriter.startSoak(rollout, soak);
    } else if (decision instanceof RolloutDecision.Complete complete) {
      changeWriter.complete(rollout, complete, service);
    } else if (decision instanceof RolloutDecision.Hold hold) {
      changeWriter.recordReason(rollout, hold.reason(), clock.instant());
    }
  }
}
