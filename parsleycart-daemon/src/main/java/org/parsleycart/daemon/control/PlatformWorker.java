package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PollSchedule;
import org.parsleycart.decision.spreading.StartupReadiness;
import org.parsleycart.link.BoundedQueue;
import org.parsleycart.model.Recency;
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.PlatformError;
import org.tinylog.Logger;

/**
 * Polls the platform at a rate that does not grow with the fleet, discovers the first peers,
 * decides when a new daemon is ready, and persists urgent facts.
 */
public final class PlatformWorker {
  private static final long TASK_WAIT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final Duration SYNCHRONIZATION_INTERVAL = Duration.ofSeconds(20);
  private static final Duration STARTUP_SYNCHRONIZATION_INTERVAL = Duration.ofMillis(500);
  private static final Duration JOIN_INTERVAL = Duration.ofMillis(400);
  private static final Duration ISOLATION_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FACT_PERSISTENCE_INTERVAL = Duration.ofSeconds(1);
  private static final int TASK_QUEUE_CAPACITY = 64;

  /** How long a starting daemon waits for peers, because peers report the upstreams. */
  private static final Duration STARTUP_PEER_WAIT = Duration.ofSeconds(2);

  private final MeshState state;
  private final ConfigurationAuthority authority;
  private final GossipWorker gossip;
  private final PeerSyncWorker peerSync;
  private final PeerDiscovery peerDiscovery;
  private final UrgentFactPersister urgentFactPersister;
  private final PollSchedule pollSchedule;
  private final Freshness freshness;
  private final StartupReadiness startupReadiness = new StartupReadiness();
  private final InstantSource clock;
  private final RandomGenerator random;
  private final BoundedQueue<Runnable> tasks = new BoundedQueue<>(TASK_QUEUE_CAPACITY);
  private final WorkerLoop loop;
  private volatile boolean platformReachable = true;
  private Instant lastPlatformAnswer;
  private Instant nextSynchronization;
  private Instant nextJoin;
  private Instant nextFactPersistence;
  private long publishedInEra;
  private final Instant peerWaitDeadline;

  // -- construction

  /** Creates the worker; {@link #start} starts its thread. */
  public PlatformWorker(
      MeshState state,
      ConfigurationAuthority authority,
      GossipWorker gossip,
      PeerSyncWorker peerSync,
      PeerDiscovery peerDiscovery,
      UrgentFactPersister urgentFactPersister,
      PollSchedule pollSchedule,
      Freshness freshness,
      InstantSource clock,
      RandomGenerator random) {
    this.state = requireNonNull(state, "state is null");
    this.authority = requireNonNull(authority, "authority is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.peerSync = requireNonNull(peerSync, "peerSync is null");
    this.peerDiscovery = requireNonNull(peerDiscovery, "peerDiscovery is null");
    this.urgentFactPersister = requireNonNull(urgentFactPersister, "urgentFactPersister is null");
    this.pollSchedule = requireNonNull(pollSchedule, "pollSchedule is null");
    this.freshness = requireNonNull(freshness, "freshness is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.random = requireNonNull(random, "random is null");
    Instant now = clock.instant();
    this.lastPlatformAnswer = now;
    this.nextSynchronization = now;
    this.nextJoin = now;
    this.nextFactPersistence = now;
    this.peerWaitDeadline = authority.isLongPolling() ? now.plus(STARTUP_PEER_WAIT) : now;
    this.loop = new WorkerLoop("platform", this::step, state.workers());
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
    tasks.poll(TASK_WAIT_NANOSECONDS).ifPresent(Runnable::run);
    Instant now = clock.instant();
    joinWhenDue(now);
    synchronizeMembersWhenDue(now);
    if (!authority.isLongPolling() && pollSchedule.isDue(now)) {
      recordRead(authority.catchUp(Duration.ZERO));
    }
    updateReadiness();
    updateIsolation(clock.instant());
    if (!now.isBefore(nextFactPersistence)) {
      nextFactPersistence = now.plus(FACT_PERSISTENCE_INTERVAL);
      urgentFactPersister.persistMissing(gossip.view(), platformReachable);
    }
  }

  private void publishAgainWhenRestored() {
    long era = authority.platformEra();
    if (era == publishedInEra) {
      return;
    }
    boolean isFirst = publishedInEra == 0;
    if (isFirst || peerDiscovery.publishAgain(gossip.view().self())) {
      publishedInEra = era;
    }
  }

  private void joinWhenDue(Instant now) {
    if (now.isBefore(nextJoin)) {
      return;
    }
    nextJoin = now.plus(JOIN_INTERVAL);
    publishAgainWhenRestored();
    MembershipView view = gossip.view();
    if (view.size() > 1) {
      return;
    }
    peerDiscovery
        .discover(view.self())
        .forEach(
            peer -> {
              gossip.submit((protocol, pullPlanner) -> List.of(protocol.introduce(peer)));
              peerSync.synchronizeMembers(peer, view, false);
            });
  }

  private void synchronizeMembersWhenDue(Instant now) {
    if (now.isBefore(nextSynchronization)) {
      return;
    }
    MembershipView view = gossip.view();
    List<String> otherMembers = view.otherIdentifiers();
    if (otherMembers.isEmpty()) {
      return;
    }
    Duration meanInterval =
        state.isServing() ? SYNCHRONIZATION_INTERVAL : STARTUP_SYNCHRONIZATION_INTERVAL;
    long meanMilliseconds = meanInterval.toMillis();
    nextSynchronization = now.plusMillis(meanMilliseconds / 2 + random.nextLong(meanMilliseconds));
    peerSync.synchronizeMembers(otherMembers.get(random.nextInt(otherMembers.size())), view, true);
  }

  private void recordRead(Either<PlatformError, Integer> result) {
    Instant now = clock.instant();
    pollSchedule.recordRead(result.isRight(), state.isIsolated(), gossip.view().size(), now);
    if (result.isRight()) {
      lastPlatformAnswer = now;
      startupReadiness.recordPlatformAnswer();
    }
    recordReachability(result);
    if (result.isRight() && result.get() > 0) {
      gossip.submit((protocol, pullPlanner) -> protocol.announce());
    }
  }

  private void recordReachability(Either<PlatformError, Integer> result) {
    boolean reachable = result.isRight();
    if (reachable != platformReachable) {
      platformReachable = reachable;
      String cause = reachable ? "requests succeed again" : result.getLeft().message();
      Logger.info("platform {}: {}", reachable ? "reachable" : "unreachable", cause);
    }
  }

  private void updateReadiness() {
    if (state.isServing() || state.isStopping()) {
      return;
    }
    MembershipView view = gossip.view();
    Recency own = state.configuration().recency();
    boolean hasNoPublishedVersion = authority.isLongPolling() && own.equals(Recency.NONE);
    boolean isWaitingForPeers = view.size() == 1 && clock.instant().isBefore(peerWaitDeadline);
    if (hasNoPublishedVersion || isWaitingForPeers) {
      return;
    }
    if (startupReadiness.isReady(own, view.size() - 1)) {
      state.setReady();
      Logger.info("ready with configuration version {}", own.version());
    }
  }

  private void updateIsolation(Instant now) {
    Instant isolationThreshold = now.minus(ISOLATION_TIMEOUT);
    boolean isolated =
        gossip.hasMembersInOtherZones()
            && gossip.lastReceivedFromOtherZone().isBefore(isolationThreshold)
            && lastPlatformAnswer.isBefore(isolationThreshold)
            && freshness
                .confirmationAge(now)
                .filter(age -> age.compareTo(ISOLATION_TIMEOUT) <= 0)
                .isEmpty();
    if (isolated != state.isIsolated()) {
      state.setIsolated(isolated);
      Logger.info(
          isolated
              ? "isolated from other zones and the platform: refusing new calls"
              : "no longer isolated: accepting new calls");
    }
    if (gossip.hasMembersInOtherZones()
        && gossip.lastReceivedFromOtherZone().isBefore(isolationThreshold)) {
      pollSchedule.bringForward(now);
    }
  }

  // -- queries and events

  /**
   * Returns whether the last request to the platform was answered, or true before the first
   * request.
   */
  public boolean isPlatformReachable() {
    return platformReachable;
  }

  /** Records the result of a platform read that another worker made. */
  void recordPlatformRead(Either<PlatformError, Integer> result) {
    tasks.offer(() -> recordRead(result));
  }

  /** Records the newest configuration that a peer reported while this daemon was starting. */
  public void recordPeerHead(String peer, Recency held) {
    tasks.offer(() -> startupReadiness.recordPeerVersion(peer, held));
  }

  /** Disseminates an urgent fact that this daemon decided. */
  public void announceUrgentFact(UrgentFact fact) {
    gossip.submit((protocol, pullPlanner) -> protocol.announceUrgentFact(fact));
  }
}
