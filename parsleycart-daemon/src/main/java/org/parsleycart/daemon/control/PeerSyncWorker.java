package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.decision.membership.BucketDigests;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.MembershipAnswer;
import org.parsleycart.decision.message.ControlMessage.MembershipRequest;
import org.parsleycart.decision.message.OutgoingMessage;
import org.parsleycart.decision.spreading.AdaptiveTimeout;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.decision.spreading.ConfigurationUpdateError;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.PullProgress;
import org.parsleycart.decision.spreading.PullProgress.Stage;
import org.parsleycart.link.BoundedQueue;
import org.parsleycart.link.FrameClient;
import org.parsleycart.link.LinkError;
import org.parsleycart.model.Recency;
import org.tinylog.Logger;

/**
 * Requests missing configuration versions and member records from peers. One thread requests
 * versions, another requests member records.
 */
public final class PeerSyncWorker {
  /** A pull that does not fit in the queue counts as failed and is planned again. */
  private static final int QUEUE_CAPACITY = 16;

  /** A queued task ends the wait at once; only the end of the worker waits for the timeout. */
  private static final long QUEUE_WAIT_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

  private final FrameClient frameClient;
  private final ConfigurationLog log;
  private final InstantSource clock;
  private final AdaptiveTimeout pullConnectTimeout =
      new AdaptiveTimeout(FrameClient.USUAL_CONNECT_TIMEOUT, PullPlanner.PULL_TIMEOUT);
  private final PullProgress progress;
  private final LongAdder failedPulls = new LongAdder();
  private final BoundedQueue<Runnable> pullTasks = new BoundedQueue<>(QUEUE_CAPACITY);
  private final BoundedQueue<Runnable> synchronizationTasks = new BoundedQueue<>(QUEUE_CAPACITY);
  private final WorkerLoop pullLoop;
  private final WorkerLoop synchronizationLoop;
  private volatile Consumer<GossipWorker.Command> gossipCommands = command -> {};
  private volatile BiConsumer<String, Recency> peerHeadConsumer = (peer, held) -> {};

  // -- construction

  /**
   * Creates the worker; {@link #start} starts its threads.
   *
   * @param progress records the stages of each pull of versions
   */
  public PeerSyncWorker(
      FrameClient frameClient,
      ConfigurationLog log,
      PullProgress progress,
      InstantSource clock,
      WorkerHealth health) {
    this.frameClient = requireNonNull(frameClient, "frameClient is null");
    this.log = requireNonNull(log, "log is null");
    this.progress = requireNonNull(progress, "progress is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.pullLoop = new WorkerLoop("config-pull", () -> step(pullTasks), health);
    // A request to an unreachable peer blocks until its timeout, which must not delay pulls.
    this.synchronizationLoop =
        new WorkerLoop("synchronizing", () -> step(synchronizationTasks), health);
  }

  /**
   * Starts both threads.
   *
   * @param gossipWorker receives the results
   * @param peerHeadConsumer receives the address of each peer that answered and how recent its
   *     configuration is
   */
  public void start(GossipWorker gossipWorker, BiConsumer<String, Recency> peerHeadConsumer) {
    gossipCommands = gossipWorker::submit;
    this.peerHeadConsumer = requireNonNull(peerHeadConsumer, "peerHeadConsumer is null");
    pullLoop.start();
    synchronizationLoop.start();
  }

  /** Stops both threads after their current steps. */
  public void stop() {
    pullLoop.stop();
    synchronizationLoop.stop();
  }

  // -- operation

  /** Queues a request that asks a peer for missing configuration versions. */
  public void pullConfiguration(OutgoingMessage request) {
    requireNonNull(request, "request is null");
    pullTasks.offer(() -> pullNow(request));
  }

  /**
   * Queues a request that asks a peer for the member records that differ from the view.
   *
   * @param hasPeers whether the view contains other members; otherwise the peer sends all its
   *     records
   */
  public void synchronizeMembers(String peer, MembershipView view, boolean hasPeers) {
    List<Long> digests = hasPeers ? BucketDigests.of(view.records()) : List.of(0L);
    synchronizationTasks.offer(
        () -> synchronizeNow(peer, new MembershipRequest(view.self(), digests)));
  }

  private static void step(BoundedQueue<Runnable> tasks) {
    tasks.poll(QUEUE_WAIT_NANOSECONDS).ifPresent(Runnable::run);
  }

  private void pullNow(OutgoingMessage request) {
    try {
      pullAndApply(request);
    } finally {
      progress.enter(Stage.WAITING, clock.instant());
    }
  }

  private void pullAndApply(OutgoingMessage request) {
    Instant startedAt = clock.instant();
    Either<LinkError, ControlMessage> answer =
        frameClient.send(
            request.target(),
            request.message(),
            pullConnectTimeout.current(),
            PullPlanner.PULL_TIMEOUT,
            () -> progress.enter(Stage.RECEIVING, clock.instant()));
    recordConnection(answer, Duration.between(startedAt, clock.instant()));
    if (answer.isRight() && answer.get() instanceof ConfigurationAnswer configurationAnswer) {
      progress.enter(Stage.APPLYING, clock.instant());
      Either<ConfigurationUpdateError, Integer> result =
          receive(request.target(), configurationAnswer);
      gossipCommands.accept(
          (protocol, pullPlanner) -> {
            pullPlanner.recordAnswer(result.isRight(), clock.instant());
            boolean hasNewVersions = result.isRight() && result.get() > 0;
            return hasNewVersions ? protocol.announce() : List.of();
          });
    } else {
      failedPulls.increment();
      Logger.info(
          "pull of versions from {} failed, version {} stays: {}",
          request.target(),
          log.current().version(),
          answer.isLeft() ? answer.getLeft().message() : "unexpected answer");
      gossipCommands.accept(
          (protocol, pullPlanner) -> {
            pullPlanner.recordFailure(clock.instant());
            return List.of();
          });
    }
  }

  private void recordConnection(Either<LinkError, ControlMessage> answer, Duration elapsed) {
    if (answer.isRight()) {
      pullConnectTimeout.recordSuccess(elapsed);
    } else if (answer.getLeft() instanceof LinkError.Unreachable) {
      pullConnectTimeout.recordFailure();
    }
  }

  private Either<ConfigurationUpdateError, Integer> receive(
      String peer, ConfigurationAnswer answer) {
    Instant arrivedAt = clock.instant();
    long previousVersion = log.current().version();
    Either<ConfigurationUpdateError, Integer> result = log.receive(answer);
    Duration elapsed = Duration.between(arrivedAt, clock.instant());
    result
        .peek(applied -> logVersions(peer, answer, previousVersion, applied, elapsed))
        .peekLeft(
            error ->
                Logger.info(
                    "versions from {} cannot be applied, version {} stays: {}",
                    peer,
                    log.current().version(),
                    error));
    return result;
  }

  private void logVersions(
      String peer,
      ConfigurationAnswer answer,
      long previousVersion,
      int applied,
      Duration elapsed) {
    if (applied > 0) {
      Logger.info(
          "version {} in force after version {}: {} versions as {} from {}, {} ms after they"
              + " arrived",
          log.current().version(),
          previousVersion,
          applied,
          answer.snapshot().isPresent() ? "a snapshot" : "changes",
          peer,
          elapsed.toMillis());
    }
  }

  private void synchronizeNow(String peer, MembershipRequest request) {
    Either<LinkError, ControlMessage> answer =
        frameClient.send(peer, request, PullPlanner.PULL_TIMEOUT);
    if (answer.isRight() && answer.get() instanceof MembershipAnswer membershipAnswer) {
      peerHeadConsumer.accept(peer, membershipAnswer.head().recency());
      gossipCommands.accept(
          (protocol, pullPlanner) -> {
            protocol.mergeBulkRecords(membershipAnswer.records());
            protocol.mergeUrgentFacts(membershipAnswer.urgentFacts());
            protocol.mergeRequestEvidence(membershipAnswer.requestEvidence());
            pullPlanner.recordHead(peer, membershipAnswer.head(), log.head());
            return List.of();
          });
    }
  }

  // -- queries

  /** Returns how many pulls of versions got no answer. */
  public long failedPulls() {
    return failedPulls.sum();
  }
}
