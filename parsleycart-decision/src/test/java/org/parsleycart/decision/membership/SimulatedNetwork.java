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
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.threeten.extra.MutableClock;

/** A few protocols joined by links that lose, repeat, cross and cut messages on demand. */
final class SimulatedNetwork {
  private static final Duration STEP = Duration.ofMillis(25);
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final MutableClock clock = MutableClock.of(START, java.time.ZoneOffset.UTC);
  private final Random random;
  private final List<GossipProtocol> members = new ArrayList<>();
  private final Map<Integer, Freshness> freshness = new HashMap<>();
  private final Set<Integer> silent = new HashSet<>();
  private final List<Delivery> inFlight = new ArrayList<>();
  private BiPredicate<Integer, Integer> cut = (source, target) -> false;
  private double disturbance;

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
        new PullPlanner(identifier(index), new Random(random.nextLong())));
  }

  String identifier(int index) {
    return "10.0.0." + index + ":7402";
  }

  List<GossipProtocol> members() {
    return members;
  }

  Freshness freshness(int index) {
    return freshness.get(index);
  }

  Instant now() {
    return clock.instant();
  }

  /** Returns what the other running members believe of one. */
  List<MemberStatus> statusesOf(int index) {
    return IntStream.range(0, members.size())
        .filter(other -> other != index && !silent.contains(other))
        .mapToObj(members::get)
        .flatMap(member -> member.table().find(identifier(index)).stream())
        .map(MemberRecord::status)
        .toList();
  }

  // -- faults

  void stop(int index) {
    silent.add(index);
  }

  void pause(int index) {
    silent.add(index);
  }

  void resume(int index) {
    silent.remove(index);
  }

  void restart(int index) {
    restartWithIncarnation(index, clock.millis());
  }

  void restartWithIncarnation(int index, long incarnation) {
    silent.remove(index);
    members.set(index, create(index, incarnation));
    send(index, List.of(members.get(index).introduce(identifier((index + 1) % members.size()))));
  }

  void cut(BiPredicate<Integer, Integer> links) {
    cut = links;
  }

  void disturb(double share) {
    disturbance = share;
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

  void advance(Duration duration) {
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      clock.add(STEP);
      deliver();
      for (int index = 0; index < members.size(); index++) {
        if (!silent.contains(index)) {
          send(index, members.get(index).tick());
        }
      }
    }
  }

  private void send(int source, List<OutgoingMessage> outgoing) {
    outgoing.forEach(each -> inFlight.add(new Delivery(source, each)));
  }

  private void deliver() {
    List<Delivery> due = new ArrayList<>(inFlight);
    inFlight.clear();
    if (disturbance > 0) {
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
    boolean lost = random.nextDouble() < disturbance;
    if (lost || silent.contains(target) || cut.test(delivery.source(), target)) {
      return;
    }
    int times = random.nextDouble() < disturbance ? 2 : 1;
    for (int time = 0; time < times; time++) {
      send(target, members.get(target).receive(delivery.outgoing().message()));
    }
  }
}
