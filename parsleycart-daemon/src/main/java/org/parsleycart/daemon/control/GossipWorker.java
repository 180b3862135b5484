package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.parsleycart.daemon.state.MeshState;
import org.parsleycart.decision.membership.GossipProtocol;
import org.parsleycart.decision.membership.MembershipTable;
import org.parsleycart.decision.message.OutgoingMessage;
import org.parsleycart.decision.routing.UpstreamDirectory;
import org.parsleycart.decision.routing.UpstreamLoadTable;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.link.BoundedQueue;
import org.parsleycart.link.DatagramLink;
import org.parsleycart.model.Recency;

/**
 * Runs the gossip protocol: probes members and disseminates membership, versions and urgent facts.
 *
 * <p>Only the thread of this worker uses the protocol. Other threads submit commands through a
 * bounded queue and read the published view.
 */
public final class GossipWorker {
  /**
   * A command that does not fit in the queue is dropped; later gossip or anti-entropy makes up for
   * it.
   */
  private static final int COMMAND_QUEUE_CAPACITY = 1024;

  /** A third of the shortest probe timeout. A shorter interval wakes up the process more often. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  private static final Duration MINIMUM_PUBLICATION_INTERVAL = Duration.ofMillis(50);

  private final GossipProtocol protocol;
  private final PullPlanner pullPlanner;
  private final DatagramLink link;
  private final MeshState state;
  private final UpstreamLoadTable loads;
  private final InstantSource clock;
  private final PeerSyncWorker peerSync;
  private final BoundedQueue<Command> commands = new BoundedQueue<>(COMMAND_QUEUE_CAPACITY);
  private final WorkerLoop loop;
  private volatile MembershipView view;
  private volatile Instant lastReceivedFromOtherZone;
  private volatile boolean hasMembersInOtherZones;
  private long publishedChangeCount = -1;
  private Optional<Recency> publishedConfiguration = Optional.empty();
  private List<?> publishedFacts = List.of();
  private Instant nextTick;
  private Instant nextPublication;

  /** A command that runs on the gossip thread. */
  @FunctionalInterface
  public interface Command {
    /** Runs the command and returns the messages to send. */
    List<OutgoingMessage> run(GossipProtocol protocol, PullPlanner pullPlanner);
  }

  // -- construction

  /** Creates the worker; {@link #start} starts its thread. */
  public GossipWorker(
      GossipProtocol protocol,
      PullPlanner pullPlanner,
      DatagramLink link,
      MeshState state,
      UpstreamLoadTable loads,
      InstantSource clock,
      PeerSyncWorker peerSync) {
    this.protocol = requireNonNull(protocol, "protocol is null");
    this.pullPlanner = requireNonNull(pullPlanner, "pullPlanner is null");
    this.link = requireNonNull(link, "link is null");
    this.state = requireNonNull(state, "state is null");
    this.loads = requireNonNull(loads, "loads is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.peerSync = requireNonNull(peerSync, "peerSync is null");
    this.nextTick = clock.instant();
    this.nextPublication = nextTick;
    this.lastReceivedFromOtherZone = nextTick;
    this.view = newView();
    this.loop = new WorkerLoop("gossip", this::step, state.workers());
  }

  public void start() {
    loop.start();
  }

  /** Stops the worker after its current step and closes the datagram link. */
  public void stop() {
    loop.stop();
    link.close();
  }

  // -- operation

  /**
   * Submits a command to the gossip thread. Returns false if the queue was full and the command was
   * dropped.
   */
  public boolean submit(Command command) {
    return commands.offer(command);
  }

  private void step() {
    runCommands();
    long wait = Duration.between(clock.instant(), nextTick).toMillis();
    link.receive((int) Math.max(1, wait))
        .ifPresent(message -> protocol.receive(message).forEach(link::send));
    if (!clock.instant().isBefore(nextTick)) {
      tick();
    }
  }

  private void runCommands() {
    Optional<Command> command = commands.poll();
    while (command.isPresent()) {
      command.get().run(protocol, pullPlanner).forEach(link::send);
      command = commands.poll();
    }
  }

  private void tick() {
    Instant now = clock.instant();
    nextTick = now.plus(TICK_INTERVAL);
    protocol.tick().forEach(link::send);
    pullPlanner.nextPull(state.log().head(), now).ifPresent(peerSync::pullConfiguration);
    lastReceivedFromOtherZone = protocol.lastReceivedFromOtherZone();
    publishIfChanged(now);
  }

  private void publishIfChanged(Instant now) {
    MembershipTable table = protocol.table();
    Optional<Recency> configuration = Optional.of(state.configuration().recency());
    List<?> facts = state.facts().all();
    boolean changed =
        table.changeCount() != publishedChangeCount
            || !configuration.equals(publishedConfiguration)
            || !facts.equals(publishedFacts);
    if (!changed || now.isBefore(nextPublication)) {
      return;
    }
    nextPublication = now.plus(MINIMUM_PUBLICATION_INTERVAL);
    publishedChangeCount = table.changeCount();
    publishedConfiguration = configuration;
    publishedFacts = facts;
    hasMembersInOtherZones = protocol.hasMembersInOtherZones();
    view = newView();
    UpstreamDirectory directory =
        UpstreamDirectory.of(
            table.all(),
            state.zone(),
            zone -> state.facts().isWithdrawn(state.configuration(), zone));
    state.setDirectory(directory);
    loads.retainOnly(directory.all(), now);
  }

  private MembershipView newView() {
    MembershipTable table = protocol.table();
    return new MembershipView(table.self(), table.all().toList());
  }

  // -- queries

  /** Returns the most recently published members. */
  public MembershipView view() {
    return view;
  }

  /**
   * Returns when a message from a daemon in another zone was last received, or the start time if
   * none was.
   */
  public Instant lastReceivedFromOtherZone() {
    return lastReceivedFromOtherZone;
  }

  /** Returns whether daemons of other zones are known. */
  public boolean hasMembersInOtherZones() {
    return hasMembersInOtherZones;
  }

  /** Returns how many commands were dropped because the queue was full. */
  public long droppedCommands() {
    return commands.rejectedCount();
  }
}
