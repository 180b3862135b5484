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
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.link.EnvelopeCodec;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.model.AvailabilityZone;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;

/**
 * Runs the state machines of many daemons against a clock of the trial, with messages that take
 * time and may be lost. Measures the decisions, not a network.
 *
 * <p>To keep 5,300 members in one process, a daemon here holds the number of its version in place
 * of a whole snapshot; the cost of snapshots is measured by itself.
 */
final class SpreadTrial {
  /** Bytes of the headers of IP and UDP on each datagram. */
  static final int DATAGRAM_HEADER_BYTES = 28;

  /** Bytes of the headers of one request over a connection of its own, taken as ten segments. */
  static final int CONNECTION_HEADER_BYTES = 400;

  private static final Duration TICK = Duration.ofMillis(50);
  private static final int SHORTEST_DELAY_MILLISECONDS = 1;
  private static final int LONGEST_DELAY_MILLISECONDS = 30;
  private static final int RETRANSMISSION_MILLISECONDS = 300;
  private static final int MEASURED_SHARE = 8;

  private final TrialClock clock = new TrialClock();
  private final Random random;
  private final double loss;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> byAddress = new java.util.HashMap<>();
  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(Comparator.comparing(Delivery::due));
  private final EnvelopeCodec envelope =
      new EnvelopeCodec(PeerKeys.of(List.of("trial-key-0123456789")));
  private final VersionedChange typicalChange;
  private double bytes;
  private long messages;
  private long pulls;
  private long lastVersion;

  private record Delivery(Instant due, Node target, String source, ControlMessage message) {}

  private static final class Node {
    private final String address;
    private final GossipProtocol protocol;
    private final PullPlanner pulls;
    private long version;
    private boolean alive = true;

    private Node(String address, GossipProtocol protocol, PullPlanner pulls) {
      this.address = address;
      this.protocol = protocol;
      this.pulls = pulls;
    }
  }

  // -- construction

  SpreadTrial(int size, long seed, double loss) {
    this.random = new Random(seed);
    this.loss = loss;
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

  private void add(MemberRecord self, List<MemberRecord> all) {
    MembershipTable table = new MembershipTable(self, clock.instant());
    all.forEach(record -> table.merge(record, clock.instant()));
    PullPlanner pullPlanner = new PullPlanner(self.identifier(), new Random(random.nextLong()));
    Node[] holder = new Node[1];
    GossipProtocol protocol =
        new GossipProtocol(
            table,
            GossipSettings.standard(),
            clock,
            new Random(random.nextLong()),
            () -> headOf(holder[0] == null ? 0 : holder[0].version),
            new Freshness(),
            new UrgentFacts(),
            pullPlanner);
    holder[0] = new Node(self.identifier(), protocol, pullPlanner);
    nodes.add(holder[0]);
    byAddress.put(self.identifier(), holder[0]);
  }

  private static ConfigurationHead headOf(long version) {
    return new ConfigurationHead(version, "0123456789abcdef");
  }

  // -- events

  /** Accepts the next version at a random live daemon; returns the time until all live have it. */
  Duration spreadNext(Duration longest) {
    Node first = randomAlive();
    lastVersion++;
    first.version = lastVersion;
    send(first, first.protocol.announce());
    Instant start = clock.instant();
    Instant end = start.plus(longest);
    while (clock.instant().isBefore(end)) {
      step();
      if (nodes.stream().allMatch(node -> !node.alive || node.version >= lastVersion)) {
        return Duration.between(start, clock.instant());
      }
    }
    return longest;
  }

  /** Kills a share of the daemons at once. */
  void kill(double share) {
    nodes.stream().filter(node -> random.nextDouble() < share).forEach(node -> node.alive = false);
  }

  /** Lets a random daemon announce a change of its upstreams, as a restart does. */
  void churn() {
    Node node = randomAlive();
    send(node, node.protocol.announceSelf(MemberStatus.ALIVE, List.of()));
  }

  void run(Duration duration) {
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      step();
    }
  }

  private Node randomAlive() {
    Node node = nodes.get(random.nextInt(nodes.size()));
    return node.alive ? node : randomAlive();
  }

  private void step() {
    clock.advance(TICK);
    Instant now = clock.instant();
    while (!inFlight.isEmpty() && !inFlight.peek().due().isAfter(now)) {
      deliver(inFlight.poll());
    }
    for (Node node : nodes) {
      if (node.alive) {
        send(node, node.protocol.tick());
        Optional<OutgoingMessage> pull = node.pulls.nextPull(headOf(node.version), now);
        pull.ifPresent(outgoing -> send(node, List.of(outgoing)));
      }
    }
  }

  // -- messages

  private void send(Node source, List<OutgoingMessage> outgoing) {
    for (OutgoingMessage each : outgoing) {
      count(each.message());
      Node target = byAddress.get(each.target());
      boolean lost = random.nextDouble() < loss;
      if (target != null && (!lost || isOnConnection(each.message()))) {
        int span = LONGEST_DELAY_MILLISECONDS - SHORTEST_DELAY_MILLISECONDS;
        int delay = SHORTEST_DELAY_MILLISECONDS + random.nextInt(span);
        int resent = lost ? RETRANSMISSION_MILLISECONDS : 0;
        Instant due = clock.instant().plusMillis(delay + resent);
        inFlight.add(new Delivery(due, target, source.address, each.message()));
      }
    }
  }

  private void count(ControlMessage message) {
    messages++;
    bytes += isOnConnection(message) ? CONNECTION_HEADER_BYTES / 2.0 : DATAGRAM_HEADER_BYTES;
    if (messages % MEASURED_SHARE == 0) {
      bytes += MEASURED_SHARE * (double) envelope.encode(message).length;
    }
  }

  /** A lost segment of a connection comes late; a lost datagram does not come. */
  private static boolean isOnConnection(ControlMessage message) {
    return message instanceof ConfigurationRequest || message instanceof ConfigurationAnswer;
  }

  private void deliver(Delivery delivery) {
    Node target = delivery.target();
    if (!target.alive) {
      return;
    }
    if (delivery.message() instanceof ConfigurationRequest) {
      pulls++;
      ConfigurationAnswer answer =
          new ConfigurationAnswer(headOf(target.version), List.of(typicalChange), Optional.empty());
      send(target, List.of(new OutgoingMessage(delivery.source(), answer)));
    } else if (delivery.message() instanceof ConfigurationAnswer answer) {
      boolean news = answer.head().version() > target.version;
      target.version = Math.max(target.version, answer.head().version());
      target.pulls.recordAnswer(true, clock.instant());
      send(target, news ? target.protocol.announce() : List.of());
    } else {
      send(target, target.protocol.receive(delivery.message()));
    }
  }

  // -- results

  void resetCounts() {
    bytes = 0;
    messages = 0;
    pulls = 0;
  }

  double bytesPerNode() {
    return bytes / nodes.size();
  }

  double messagesPerNode() {
    return (double) messages / nodes.size();
  }

  double pullsPerNode() {
    return (double) pulls / nodes.size();
  }

  /** Returns the share of dead members that the average live daemon still lists as present. */
  double deadStillListed() {
    List<Node> dead = nodes.stream().filter(node -> !node.alive).toList();
    List<Node> sample = nodes.stream().filter(node -> node.alive).limit(50).toList();
    return dead.isEmpty()
        ? 0
        : sample.stream()
            .mapToDouble(
                node ->
                    (double)
                            dead.stream()
                                .filter(each -> node.protocol.findPresent(each.address).isPresent())
                                .count()
                        / dead.size())
            .average()
            .orElse(0);
  }
}
