package org.parsleycart.decision.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.OutgoingMessage;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.threeten.extra.MutableClock;

/** A few protocol instances whose messages can be dropped, duplicated, reordered or blocked. */
final class SimulatedNetwork {
  private static final Duration STEP = Duration.ofMillis(25);
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final MutableClock clock = MutableClock.of(START, java.time.ZoneOffset.UTC);
  private final Random random;
  private final List<GossipProtocol> members = new ArrayList<>();
  private final Map<Integer, Freshness> freshness = new HashMap<>();
  private final Map<Integer, RequestQuarantine> quarantines = new HashMap<>();
  private final Set<Integer> stopped = new HashSet<>();
  private final List<Delivery> inFlight = new ArrayList<>();
  private BiPredicate<Integer, Integer> blocked = (source, target) -> false;
  private double disturbanceProbability;

  private record Delivery(int source, OutgoingMessage outgoing) {}

  SimulatedNetwork(int size, long seed) {
    this.random = new Random(seed);
    IntStream.range(0, size).forEach(index -> members.add(create(index, clock.millis())));
  }

  private GossipProtocol create(int index, long incarnation) {
    MemberRecord self =
        new MemberRecord(
            identifier(index),
            incarnation,
            0,
            MemberStatus.ALIVE,
            index % 2 == 0 ? "abdali" : "marka",
            identifier(index),
            Map.of(),
            List.of());
    return new GossipProtocol(
        new MembershipTable(self, clock.instant()),
        GossipSettings.standard(),
        clock,
        new Random(random.nextLong()),
        () -> new ConfigurationHead(0, "0000000000000000"),
        freshness.computeIfAbsent(index, unused -> new Freshness()),
        new UrgentFacts(),
        new PullPlanner(identifier(index), new Random(random.nextLong())),
        quarantine(index));
  }

  String identifier(int index) {
    return "10.0.0." + index + ":7402";
  }

  List<GossipProtocol> members() {
    return members;
  }

  RequestQuarantine quarantine(int index) {
    return quarantines.computeIfAbsent(
        index, unused -> new RequestQuarantine(clock, quarantined -> {}));
  }

  Freshness freshness(int index) {
    return freshness.get(index);
  }

  Instant now() {
    return clock.instant();
  }

  /** Returns the statuses that the other running members record for one member. */
  List<MemberStatus> statusesOf(int index) {
    return IntStream.range(0, members.size())
        .filter(other -> other != index && !stopped.contains(other))
        .mapToObj(members::get)
        .flatMap(member -> member.table().find(identifier(index)).stream())
        .map(MemberRecord::status)
        .toList();
  }

  // -- faults

  void stop(int index) {
    stopped.add(index);
  }

  void pause(int index) {
    stopped.add(index);
  }

  void resume(int index) {
    stopped.remove(index);
  }

  void restart(int index) {
    restartWithIncarnation(index, clock.millis());
  }

  void restartWithIncarnation(int index, long incarnation) {
    stopped.remove(index);
    members.set(index, create(index, incarnation));
    send(index, List.of(members.get(index).introduce(identifier((index + 1) % members.size()))));
  }

  /** Blocks messages on the links from source to target for which the predicate holds. */
  void block(BiPredicate<Integer, Integer> links) {
    blocked = links;
  }

  /** Drops and duplicates each message with the given probability, and reorders messages. */
  void disturb(double probability) {
    disturbanceProbability = probability;
  }

  // -- time

  void introduceAll() {
    for (int index = 0; index < members.size(); index++) {
      int next = (index + 1) % members.size();
      send(index, List.of(members.get(index).introduce(identifier(next))));
    }
  }

  void announce(int index, MemberStatus status, List<AnnouncedUpstream> upstreams) {
    send(index, members.get(index).announceSelf(status, upstreams));
  }

  void reportEvidence(int index, RequestEvidence evidence) {
    List<RequestEvidence> changed = quarantine(index).merge(List.of(evidence));
    send(index, members.get(index).announceRequestEvidence(changed));
  }

  void advance(Duration duration) {
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      clock.add(STEP);
      deliver();
      for (int index = 0; index < members.size(); index++) {
        if (!stopped.contains(index)) {
          send(index, members.get(index).tick());
        }
      }
    }
  }

  private void send(int source, List<OutgoingMessage> outgoing) {
    outgoing.forEach(message -> inFlight.add(new Delivery(source, message)));
  }

  private void deliver() {
    List<Delivery> due = new ArrayList<>(inFlight);
    inFlight.clear();
    if (disturbanceProbability > 0) {
      java.util.Collections.shuffle(due, random);
    }
    due.forEach(this::deliver);
  }

  private void deliver(Delivery delivery) {
    int target =
        IntStream.range(0, members.size())
            .filter(index -> identifier(index).equals(delivery.outgoing().target()))
            .findFirst()
            .orElseThrow();
    boolean isLost = random.nextDouble() < disturbanceProbability;
    if (isLost || stopped.contains(target) || blocked.test(delivery.source(), target)) {
      return;
    }
    int copies = random.nextDouble() < disturbanceProbability ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      send(target, members.get(target).receive(delivery.outgoing().message()));
    }
  }
}
