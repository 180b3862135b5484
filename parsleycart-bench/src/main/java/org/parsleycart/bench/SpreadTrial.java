package org.parsleycart.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.parsleycart.decision.membership.GossipProtocol;
import org.parsleycart.decision.membership.GossipSettings;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.membership.MembershipTable;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.OutgoingMessage;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.link.EnvelopeCodec;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;

/**
 * Simulates the gossip of many daemons with a simulated clock and with messages that take time and
 * may be lost. Measures the protocol, not a network.
 *
 * <p>To keep 5,300 members in one process, a simulated daemon holds only the number of its version
 * in place of a snapshot; the cost of snapshots is measured separately.
 */
final class SpreadTrial {
  /** Bytes of the IP and UDP headers of a datagram. */
  static final int DATAGRAM_HEADER_BYTES = 28;

  /** Header bytes of a request and its answer over their own connection, as ten segments. */
  static final int EXCHANGE_HEADER_BYTES = 400;

  private static final Duration TICK_DURATION = Duration.ofMillis(50);
  private static final int MINIMUM_DELAY_MILLISECONDS = 1;

  /** Upper bound of the delay, exclusive. */
  private static final int MAXIMUM_DELAY_MILLISECONDS = 30;

  private static final int RETRANSMISSION_DELAY_MILLISECONDS = 300;

  /** One message in this many is encoded; its size counts for all of them. */
  private static final int ENCODING_SAMPLE_INTERVAL = 8;

  private final TrialClock clock = new TrialClock();
  private final Random random;
  private final double lossRate;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> byAddress = new java.util.HashMap<>();
  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(Comparator.comparing(Delivery::due));
  private final EnvelopeCodec envelopeCodec =
      new EnvelopeCodec(PeerKeys.of(List.of("trial-key-0123456789")));
  private final VersionedChange typicalChange;
  private double sentBytes;
  private long sentMessages;
  private long receivedPulls;
  private long lastVersion;

  private record Delivery(Instant due, Node target, String source, ControlMessage message) {}

  private static final class Node {
    private final String address;
    private final GossipProtocol protocol;
    private final PullPlanner pullPlanner;
    private long version;
    private boolean alive = true;

    private Node(String address, GossipProtocol protocol, PullPlanner pullPlanner) {
      this.address = address;
      this.protocol = protocol;
      this.pullPlanner = pullPlanner;
    }
  }

  // -- construction

  SpreadTrial(int size, long seed, double lossRate) {
    this.random = new Random(seed);
    this.lossRate = lossRate;
    this.typicalChange = typicalChange();
    List<MemberRecord> records = IntStream.range(0, size).mapToObj(this::recordOf).toList();
    records.forEach(record -> add(record, records));
  }

  private static VersionedChange typicalChange() {
    ConfigurationChange change =
        new ConfigurationChange(
            "6f9619ff-8b86-d011-b42d-00cf4fc964ff",
            "operator",
            List.of(new AvailabilityZone("zone", Map.of("region", "one", "power", "generator-1"))),
            List.of());
    Configuration next = Configuration.empty().apply(change).get();
    return new VersionedChange(1, 1_767_225_600_000L, change, next.digest());
  }

  private MemberRecord recordOf(int index) {
    String address = "10." + index / 65536 + "." + index / 256 % 256 + "." + index % 256;
    return new MemberRecord(
        address + ":7402",
        clock.millis(),
        1,
        MemberStatus.ALIVE,
        "zone-" + index % 8,
        address + ":7401",
        Map.of(),
        List.of());
  }

  private void add(MemberRecord self, List<MemberRecord> allRecords) {
    MembershipTable table = new MembershipTable(self, clock.instant());
    allRecords.forEach(record -> table.merge(record, clock.instant()));
    PullPlanner pullPlanner = new PullPlanner(self.identifier(), new Random(random.nextLong()));
    // The protocol reads the version of a node that is created after it.
    Node[] nodeHolder = new Node[1];
    GossipProtocol protocol =
        new GossipProtocol(
            table,
            GossipSettings.standard(),
            clock,
            new Random(random.nextLong()),
            () -> headOf(nodeHolder[0] == null ? 0 : nodeHolder[0].version),
            new Freshness(),
            new UrgentFacts(),
            pullPlanner,
            new RequestQuarantine(clock, quarantined -> {}));
    nodeHolder[0] = new Node(self.identifier(), protocol, pullPlanner);
    nodes.add(nodeHolder[0]);
    byAddress.put(self.identifier(), nodeHolder[0]);
  }

  private static ConfigurationHead headOf(long version) {
    return new ConfigurationHead(version, "0123456789abcdef");
  }

  // -- events

  /**
   * Accepts the next version at a random live daemon.
   *
   * @return the time until all live daemons have the version, or the maximum if they do not
   */
  Duration spreadNextVersion(Duration maximumDuration) {
    Node first = randomLiveNode();
    lastVersion++;
    first.version = lastVersion;
    send(first, first.protocol.announce());
    Instant start = clock.instant();
    Instant end = start.plus(maximumDuration);
    while (clock.instant().isBefore(end)) {
      step();
      if (nodes.stream().allMatch(node -> !node.alive || node.version >= lastVersion)) {
        return Duration.between(start, clock.instant());
      }
    }
    return maximumDuration;
  }

  /** Stops each daemon with a probability of the given share, all at once. */
  void kill(double share) {
    nodes.stream().filter(node -> random.nextDouble() < share).forEach(node -> node.alive = false);
  }

  /** Announces a change of the upstreams of a random live daemon, as a restart does. */
  void announceRestart() {
    Node node = randomLiveNode();
    send(node, node.protocol.announceSelf(MemberStatus.ALIVE, List.of()));
  }

  void run(Duration duration) {
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      step();
    }
  }

  private Node randomLiveNode() {
    Node node = nodes.get(random.nextInt(nodes.size()));
    return node.alive ? node : randomLiveNode();
  }

  private void step() {
    clock.advance(TICK_DURATION);
    Instant now = clock.instant();
    while (!inFlight.isEmpty() && !inFlight.peek().due().isAfter(now)) {
      deliver(inFlight.poll());
    }
    for (Node node : nodes) {
      if (node.alive) {
        send(node, node.protocol.tick());
        Optional<OutgoingMessage> pull = node.pullPlanner.nextPull(headOf(node.version), now);
        pull.ifPresent(outgoing -> send(node, List.of(outgoing)));
      }
    }
  }

  // -- messages

  private void send(Node source, List<OutgoingMessage> messages) {
    for (OutgoingMessage outgoing : messages) {
      count(outgoing.message());
      Node target = byAddress.get(outgoing.target());
      boolean lost = random.nextDouble() < lossRate;
      if (target != null && (!lost || isOnConnection(outgoing.message()))) {
        int delayRange = MAXIMUM_DELAY_MILLISECONDS - MINIMUM_DELAY_MILLISECONDS;
        int delay = MINIMUM_DELAY_MILLISECONDS + random.nextInt(delayRange);
        int retransmissionDelay = lost ? RETRANSMISSION_DELAY_MILLISECONDS : 0;
        Instant due = clock.instant().plusMillis(delay + retransmissionDelay);
        inFlight.add(new Delivery(due, target, source.address, outgoing.message()));
      }
    }
  }

  private void count(ControlMessage message) {
    sentMessages++;
    sentBytes += isOnConnection(message) ? EXCHANGE_HEADER_BYTES / 2.0 : DATAGRAM_HEADER_BYTES;
    if (sentMessages % ENCODING_SAMPLE_INTERVAL == 0) {
      sentBytes += ENCODING_SAMPLE_INTERVAL * (double) envelopeCodec.encode(message).length;
    }
  }

  /**
   * Returns whether the message travels over a connection, where a lost segment arrives late; a
   * lost datagram never arrives.
   */
  private static boolean isOnConnection(ControlMessage message) {
    return message instanceof ConfigurationRequest || message instanceof ConfigurationAnswer;
  }

  private void deliver(Delivery delivery) {
    Node target = delivery.target();
    if (!target.alive) {
      return;
    }
    if (delivery.message() instanceof ConfigurationRequest) {
      receivedPulls++;
      ConfigurationAnswer answer =
          new ConfigurationAnswer(headOf(target.version), List.of(typicalChange), Optional.empty());
      send(target, List.of(new OutgoingMessage(delivery.source(), answer)));
    } else if (delivery.message() instanceof ConfigurationAnswer answer) {
      boolean isNewer = answer.head().version() > target.version;
      target.version = Math.max(target.version, answer.head().version());
      target.pullPlanner.recordAnswer(true, clock.instant());
      send(target, isNewer ? target.protocol.announce() : List.of());
    } else {
      send(target, target.protocol.receive(delivery.message()));
    }
  }

  // -- results

  void resetCounts() {
    sentBytes = 0;
    sentMessages = 0;
    receivedPulls = 0;
  }

  double bytesPerNode() {
    return sentBytes / nodes.size();
  }

  double messagesPerNode() {
    return (double) sentMessages / nodes.size();
  }

  double pullsPerNode() {
    return (double) receivedPulls / nodes.size();
  }

  /**
   * Returns the share of dead members that a live daemon still lists as present, as the mean over
   * at most 50 live daemons; 0 if no member is dead.
   */
  double deadStillListedShare() {
    List<Node> dead = nodes.stream().filter(node -> !node.alive).toList();
    List<Node> sample = nodes.stream().filter(node -> node.alive).limit(50).toList();
    return dead.isEmpty()
        ? 0
        : sample.stream()
            .mapToDouble(
                node ->
                    (double)
                            dead.stream()
                                .filter(
                                    member -> node.protocol.findPresent(member.address).isPresent())
                                .count()
                        / dead.size())
            .average()
            .orElse(0);
  }
}
