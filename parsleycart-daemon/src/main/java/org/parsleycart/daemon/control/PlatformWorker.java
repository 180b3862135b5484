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
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.PlatformError;
import org.tinylog.Logger;

/**
 * The duty that reads the platform at a pace that does not grow with the fleet, finds first peers,
 * confirms the configuration of a new daemon, and makes urgent facts durable.
 */
public final class PlatformWorker {
  private static final long STEP_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final Duration SYNCHRONIZATION_INTERVAL = Duration.ofSeconds(20);
  private static final Duration START_INTERVAL = Duration.ofMillis(500);
  private static final Duration JOIN_INTERVAL = Duration.ofMillis(400);
  private static final Duration ISOLATION_AFTER = Duration.ofSeconds(5);
  private static final Duration FACT_INTERVAL = Duration.ofSeconds(1);
  private static final int RING_CAPACITY = 64;

  /** How long a daemon that has just started waits for peers, which know the upstreams. */
  private static final Duration ALONE_AT_START = Duration.ofSeconds(2);

  private final MeshState state;
  private final ConfigurationAuthority authority;
  private final GossipWorker gossip;
  private final PeerSyncWorker pulls;
  private final PeerDiscovery firstPeers;
  private final UrgentFactPersister durableFacts;
  private final PollSchedule schedule;
  private final Freshness freshness;
  private final StartupReadiness confirmation = new StartupReadiness();
  private final InstantSource clock;
  private final RandomGenerator random;
  private final BoundedQueue<Runnable> work = new BoundedQueue<>(RING_CAPACITY);
  private final WorkerLoop loop;
  private volatile boolean platformReachable = true;
  private Instant lastPlatformAnswer;
  private Instant nextSynchronization;
  private Instant nextJoin;
  private Instant nextFacts;
  private final Instant aloneUntil;

  // -- construction

  /** Creates the duty; {@link #start} starts its thread. */
  public PlatformWorker(
      MeshState state,
      ConfigurationAuthority authority,
      GossipWorker gossip,
      PeerSyncWorker pulls,
      PeerDiscovery firstPeers,
      UrgentFactPersister durableFacts,
      PollSchedule schedule,
      Freshness freshness,
      InstantSource clock,
      RandomGenerator random) {
    this.state = requireNonNull(state, "state is null");
    this.authority = requireNonNull(authority, "authority is null");
    this.gossip = requireNonNull(gossip, "gossip is null");
    this.pulls = requireNonNull(pulls, "pulls is null");
    this.firstPeers = requireNonNull(firstPeers, "firstPeers is null");
    this.durableFacts = requireNonNull(durableFacts, "durableFacts is null");
    this.schedule = requireNonNull(schedule, "schedule is null");
    this.freshness = requireNonNull(freshness, "freshness is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.random = requireNonNull(random, "random is null");
    Instant now = clock.instant();
    this.lastPlatformAnswer = now;
    this.nextSynchronization = now;
    this.nextJoin = now;
    this.nextFacts = now;
    this.aloneUntil = authority.isLongPolling() ? now.plus(ALONE_AT_START) : now;
    this.loop = new WorkerLoop("platform", this::step);
  }

  /** Starts the thread. */
  public void start() {
    loop.start();
  }

  /** Stops the thread. */
  public void stop() {
    loop.stop();
  }

  // -- operation

  private void step() {
    work.poll(STEP_NANOSECONDS).ifPresent(Runnable::run);
    Instant now = clock.instant();
    joinWhenDue(now);
    synchronizeWhenDue(now);
    if (!authority.isLongPolling() && schedule.isDue(now)) {
      noteRead(authority.catchUp(Duration.ZERO));
    }
    confirm();
    updateIsolation(clock.instant());
    if (!now.isBefore(nextFacts)) {
      nextFacts = now.plus(FACT_INTERVAL);
      durableFacts.persistMissing(gossip.view(), platformReachable);
    }
  }

  private void joinWhenDue(Instant now) {
    if (now.isBefore(nextJoin)) {
      return;
    }
    nextJoin = now.plus(JOIN_INTERVAL);
    MembershipView view = gossip.view();
    if (view.size() > 1) {
      return;
    }
    firstPeers
        .discover(view.self())
        .forEach(
            peer -> {
              gossip.submit((protocol, planner) -> List.of(protocol.introduce(peer)));
              pulls.synchronizeMembers(peer, view, false);
            });
  }

  private void synchronizeWhenDue(Instant now) {
    if (now.isBefore(nextSynchronization)) {
      return;
    }
    MembershipView view = gossip.view();
    List<String> others = view.otherIdentifiers();
    if (others.isEmpty()) {
      return;
    }
    Duration pace = state.isServing() ? SYNCHRONIZATION_INTERVAL : START_INTERVAL;
    long interval = pace.toMillis();
    nextSynchronization = now.plusMillis(interval / 2 + random.nextLong(interval));
    pulls.synchronizeMembers(others.get(random.nextInt(others.size())), view, true);
  }

  private void noteRead(Either<PlatformError, Integer> result) {
    Instant now = clock.instant();
    schedule.recordRead(result.isRight(), state.isIsolated(), gossip.view().size(), now);
    if (result.isRight()) {
      lastPlatformAnswer = now;
      confirmation.recordPlatformAnswer();
    }
    noteReachability(result);
    if (result.isRight() && result.get() > 0) {
      gossip.submit((protocol, planner) -> protocol.announce());
    }
  }

  private void noteReachability(Either<PlatformError, Integer> result) {
    boolean reachable = result.isRight();
    if (reachable != platformReachable) {
      platformReachable = reachable;
      String cause = reachable ? "answers again" : result.getLeft().message();
      Logger.info("platform {}: {}", reachable ? "reachable" : "unreachable", cause);
    }
  }

  private void confirm() {
    if (state.isReady() || state.isStopping()) {
      return;
    }
    MembershipView view = gossip.view();
    long version = state.configuration().version();
    boolean nothingStated = authority.isLongPolling() && version == 0;
    boolean alone = view.size() == 1 && clock.instant().isBefore(aloneUntil);
    if (nothingStated || alone) {
      return;
    }
    if (confirmation.isReady(version, view.size() - 1)) {
      state.setReady();
      Logger.info("ready with configuration version {}", version);
    }
  }

  private void updateIsolation(Instant now) {
    Instant oldest = now.minus(ISOLATION_AFTER);
    boolean isolated =
        gossip.hasMembersInOtherZones()
            && gossip.lastContactOutsideZone().isBefore(oldest)
            && lastPlatformAnswer.isBefore(oldest)
            && freshness
                .confirmationAge(now)
                .filter(age -> age.compareTo(ISOLATION_AFTER) <= 0)
                .isEmpty();
    if (isolated != state.isIsolated()) {
      state.setIsolated(isolated);
      Logger.info(isolated ? "isolated: refusing new work" : "no longer isolated");
    }
    if (gossip.hasMembersInOtherZones() && gossip.lastContactOutsideZone().isBefore(oldest)) {
      schedule.bringForward(now);
    }
  }

  // -- queries and events

  /** Returns whether the last request to the platform was answered. */
  public boolean isPlatformReachable() {
    return platformReachable;
  }

  /** Takes what another duty read from the platform. */
  void recordPlatformRead(Either<PlatformError, Integer> result) {
    work.offer(() -> noteRead(result));
  }

  /** Takes the head that a peer told while this daemon was starting. */
  public void recordPeerHead(String peer, long version) {
    work.offer(() -> confirmation.recordPeerVersion(peer, version));
  }

  /** Passes on a fact that this daemon decided. */
  public void announceUrgent(UrgentFact fact) {
    gossip.submit((protocol, planner) -> protocol.announceUrgentFact(fact));
  }
}
