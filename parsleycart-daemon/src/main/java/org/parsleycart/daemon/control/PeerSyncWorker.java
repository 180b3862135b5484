package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.parsleycart.decision.membership.BucketDigests;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.MembershipAnswer;
import org.parsleycart.decision.message.ControlMessage.MembershipRequest;
import org.parsleycart.decision.message.OutgoingMessage;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.decision.spreading.ConfigurationUpdateError;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.link.BoundedQueue;
import org.parsleycart.link.FrameClient;
import org.parsleycart.link.LinkError;

/** The duties that ask peers for missing versions and for member records. */
public final class PeerSyncWorker {
  /** A pull that does not fit the ring counts as failed and is planned again. */
  private static final int RING_CAPACITY = 16;

  private static final long WAIT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

  private final FrameClient client;
  private final ConfigurationLog log;
  private final InstantSource clock;
  private final BoundedQueue<Runnable> pulls = new BoundedQueue<>(RING_CAPACITY);
  private final BoundedQueue<Runnable> synchronizations = new BoundedQueue<>(RING_CAPACITY);
  private final WorkerLoop pulling;
  private final WorkerLoop synchronizing;
  private volatile Consumer<GossipWorker.Command> gossip = command -> {};
  private volatile ObjLongConsumer<String> peerHeads = (peer, version) -> {};

  // -- construction

  /** Creates the duty; {@link #start} starts its thread. */
  public PeerSyncWorker(FrameClient client, ConfigurationLog log, InstantSource clock) {
    this.client = requireNonNull(client, "client is null");
    this.log = requireNonNull(log, "log is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.pulling = new WorkerLoop("spreading", () -> step(pulls));
    // Apart from pulls, as a peer that is gone keeps the thread waiting for a while.
    this.synchronizing = new WorkerLoop("synchronizing", () -> step(synchronizations));
  }

  /** Starts the thread; results go to the given duty, and the heads of peers to the consumer. */
  public void start(GossipWorker gossipDuty, ObjLongConsumer<String> peerHeadConsumer) {
    gossip = gossipDuty::submit;
    peerHeads = requireNonNull(peerHeadConsumer, "peerHeadConsumer is null");
    pulling.start();
    synchronizing.start();
  }

  /** Stops the thread. */
  public void stop() {
    pulling.stop();
    synchronizing.stop();
  }

  // -- operation

  /** Asks a peer for missing versions. */
  public void pullConfiguration(OutgoingMessage request) {
    requireNonNull(request, "request is null");
    pulls.offer(() -> pullNow(request));
  }

  /** Asks a peer for the member records that differ. */
  public void synchronizeMembers(String peer, MembershipView view, boolean hasPeers) {
    List<Long> digests = hasPeers ? BucketDigests.of(view.records()) : List.of(0L);
    synchronizations.offer(() -> synchronizeNow(peer, new MembershipRequest(view.self(), digests)));
  }

  private static void step(BoundedQueue<Runnable> work) {
    work.poll(WAIT_NANOSECONDS).ifPresent(Runnable::run);
  }

  private void pullNow(OutgoingMessage request) {
    Either<LinkError, ControlMessage> answer =
        client.send(request.target(), request.message(), PullPlanner.PULL_TIMEOUT);
    if (answer.isRight() && answer.get() instanceof ConfigurationAnswer configuration) {
      Either<ConfigurationUpdateError, Integer> result = log.receive(configuration);
      gossip.accept(
          (protocol, pulls) -> {
            pulls.recordAnswer(result.isRight(), clock.instant());
            boolean news = result.isRight() && result.get() > 0;
            return news ? protocol.announce() : List.of();
          });
    } else {
      gossip.accept(
          (protocol, pulls) -> {
            pulls.recordFailure(clock.instant());
            return List.of();
          });
    }
  }

  private void synchronizeNow(String peer, MembershipRequest request) {
    Either<LinkError, ControlMessage> answer = client.send(peer, request, PullPlanner.PULL_TIMEOUT);
    if (answer.isRight() && answer.get() instanceof MembershipAnswer membership) {
      peerHeads.accept(peer, membership.head().version());
      gossip.accept(
          (protocol, pulls) -> {
            protocol.mergeBulkRecords(membership.records());
            protocol.mergeUrgentFacts(membership.urgentFacts());
            pulls.recordHead(peer, membership.head(), log.head());
            return List.of();
          });
    }
  }
}
