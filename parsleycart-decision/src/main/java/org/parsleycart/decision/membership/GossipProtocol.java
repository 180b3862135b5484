package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.Acknowledgement;
import org.parsleycart.decision.message.ControlMessage.Announcement;
import org.parsleycart.decision.message.ControlMessage.IndirectProbe;
import org.parsleycart.decision.message.ControlMessage.Probe;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.message.OutgoingMessage;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.UrgentFacts;

/**
 * Probes members at random, suspects those that stay silent, and passes on records, heads and
 * urgent facts with every datagram.
 *
 * <p>After SWIM (Das, Gupta, Motivala 2002) with the local health of Lifeguard (Dadgar, Phillips,
 * Currey 2017): a process that was paused, or whose probes mostly fail, waits longer for others
 * before it suspects them. Used by one thread.
 */
public final class GossipProtocol {
  private static final int MAXIMUM_HEALTH_PENALTY = 2;
  private static final int PROBES_PER_RECONNECTION = 5;
  private static final int PAUSE_FACTOR = 4;

  private final MembershipTable table;
  private final GossipSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Supplier<ConfigurationHead> head;
  private final Freshness freshness;
  private final UrgentFacts urgentFacts;
  private final PullPlanner pulls;
  private final GossipComposer composer;
  private final OutstandingProbes probes = new OutstandingProbes();
  private final SuspicionTimers suspicions = new SuspicionTimers();
  private int healthPenalty;
  private int probesSinceReconnection;
  private Instant nextProbe;
  private Instant lastTick;
  private Instant lastHeardOutsideZone;

  // -- construction

  /**
   * Creates the protocol of one daemon.
   *
   * @param table the members known
   * @param settings the pace
   * @param clock the time
   * @param random the source of choices
   * @param head gives the configuration version to announce
   * @param freshness tells, and learns from others, when that version was last known to be the
   *     newest
   * @param urgentFacts the facts to pass on and to merge into
   * @param pulls told of the heads of others
   */
  public GossipProtocol(
      MembershipTable table,
      GossipSettings settings,
      InstantSource clock,
      RandomGenerator random,
      Supplier<ConfigurationHead> head,
      Freshness freshness,
      UrgentFacts urgentFacts,
      PullPlanner pulls) {
    this.table = requireNonNull(table, "table is null");
    this.settings = requireNonNull(settings, "settings is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.random = requireNonNull(random, "random is null");
    this.head = requireNonNull(head, "head is null");
    this.freshness = requireNonNull(freshness, "freshness is null");
    this.urgentFacts = requireNonNull(urgentFacts, "urgentFacts is null");
    this.pulls = requireNonNull(pulls, "pulls is null");
    this.composer =
        new GossipComposer(
            table, settings, head, () -> freshness.confirmationAge(clock.instant()), urgentFacts);
    Instant now = clock.instant();
    this.nextProbe = now.plus(jittered(settings.probeInterval()));
    this.lastTick = now;
    this.lastHeardOutsideZone = now;
    composer.enqueueMember(table.self().identifier());
  }

  // -- time

  /** Sends what is due: probes, indirect probes, suspicions and deaths. */
  public List<OutgoingMessage> tick() {
    Instant now = clock.instant();
    if (lastTick.plus(settings.probeInterval().multipliedBy(PAUSE_FACTOR)).isBefore(now)) {
      restartTimersAfterPause(now);
    }
    lastTick = now;
    List<OutgoingMessage> outgoing = new ArrayList<>();
    handleOverdueProbes(now, outgoing);
    declareOverdueSuspectsDead(now);
    if (!now.isBefore(nextProbe)) {
      nextProbe = now.plus(jittered(settings.probeInterval()));
      table.randomPresent(random).ifPresent(member -> probe(member.identifier(), now, outgoing));
      reconnectWhenDue(outgoing);
      table.removeTombstones(settings.tombstoneAge(), now);
    }
    return outgoing;
  }

  /** Probes a member held dead now and then, so that two sides of a healed cut meet again. */
  private void reconnectWhenDue(List<OutgoingMessage> outgoing) {
    probesSinceReconnection++;
    if (probesSinceReconnection < PROBES_PER_RECONNECTION) {
      return;
    }
    probesSinceReconnection = 0;
    table.randomDead(random).ifPresent(member -> outgoing.add(introduce(member.identifier())));
  }

  private void restartTimersAfterPause(Instant now) {
    probes.clearOwn();
    suspicions.restartAll(now);
    increaseHealthPenalty(1);
  }

  private void probe(String target, Instant now, List<OutgoingMessage> outgoing) {
    long number = probes.register(target, now);
    outgoing.add(
        new OutgoingMessage(target, new Probe(gossip(), number, table.self().identifier())));
  }

  private void handleOverdueProbes(Instant now, List<OutgoingMessage> outgoing) {
    Duration timeout = settings.probeTimeout().multipliedBy(1L + healthPenalty);
    for (OutstandingProbes.OwnProbe probe : probes.removeOverdue(timeout, now)) {
      if (probe.indirect()) {
        suspect(probe.target(), now);
      } else {
        probes.registerIndirect(probe, now);
        requestIndirectProbes(probe, outgoing);
      }
    }
  }

  private void requestIndirectProbes(
      OutstandingProbes.OwnProbe probe, List<OutgoingMessage> outgoing) {
    table.randomPresent(settings.indirectProbes(), random).stream()
        .map(MemberRecord::identifier)
        .filter(member -> !member.equals(probe.target()))
        .map(
            member ->
                new OutgoingMessage(
                    member, new IndirectProbe(gossip(), probe.number(), probe.target())))
        .forEach(outgoing::add);
  }

  private void suspect(String target, Instant now) {
    increaseHealthPenalty(1);
    table
        .find(target)
        .filter(record -> record.status() == MemberStatus.ALIVE)
        .map(record -> record.withStatus(MemberStatus.SUSPECTED))
        .ifPresent(record -> mergeAndEnqueue(record, now));
  }

  private void declareOverdueSuspectsDead(Instant now) {
    Duration timeout = settings.suspicionTimeout().multipliedBy(1L + healthPenalty);
    for (String member : suspicions.removeOverdue(timeout, now)) {
      table
          .find(member)
          .filter(record -> record.status() == MemberStatus.SUSPECTED)
          .map(record -> record.withStatus(MemberStatus.DEAD))
          .ifPresent(record -> mergeAndEnqueue(record, now));
    }
  }

  private Duration jittered(Duration interval) {
    long milliseconds = interval.toMillis();
    return Duration.ofMillis(milliseconds * 3 / 4 + random.nextLong(milliseconds / 2 + 1));
  }

  private void increaseHealthPenalty(int amount) {
    healthPenalty = Math.min(MAXIMUM_HEALTH_PENALTY, healthPenalty + amount);
  }

  // -- messages

  /** Takes a datagram and returns the answers. */
  public List<OutgoingMessage> receive(ControlMessage message) {
    requireNonNull(message, "message is null");
    Instant now = clock.instant();
    if (message instanceof Probe probe) {
      processGossip(probe.gossip(), now);
      return List.of(
          new OutgoingMessage(
              probe.gossip().source(),
              new Acknowledgement(gossip(), probe.number(), table.self().identifier())));
    }
    if (message instanceof Acknowledgement acknowledgement) {
      processGossip(acknowledgement.gossip(), now);
      return acknowledge(acknowledgement);
    }
    if (message instanceof IndirectProbe indirect) {
      processGossip(indirect.gossip(), now);
      return relay(indirect);
    }
    if (message instanceof Announcement announcement) {
      processGossip(announcement.gossip(), now);
    }
    return List.of();
  }

  private List<OutgoingMessage> relay(IndirectProbe indirect) {
    String origin = indirect.gossip().source();
    long number =
        probes.relay(origin, indirect.number(), clock.instant(), settings.suspicionTimeout());
    return List.of(new OutgoingMessage(indirect.target(), new Probe(gossip(), number, origin)));
  }

  private List<OutgoingMessage> acknowledge(Acknowledgement acknowledgement) {
    Optional<OutstandingProbes.RelayedProbe> relayed =
        probes.removeRelayed(acknowledgement.number());
    if (relayed.isPresent()) {
      Acknowledgement passedOn =
          new Acknowledgement(gossip(), relayed.get().originNumber(), acknowledgement.subject());
      return List.of(new OutgoingMessage(relayed.get().origin(), passedOn));
    }
    if (probes.acknowledge(acknowledgement.number(), acknowledgement.subject())) {
      healthPenalty = Math.max(0, healthPenalty - 1);
    }
    return List.of();
  }

  private void processGossip(Gossip gossip, Instant now) {
    gossip.records().forEach(record -> mergeAndEnqueue(record, now));
    gossip.statuses().forEach(update -> mergeStatus(update, now));
    enqueueStatusOfSource(gossip.source());
    mergeUrgentFacts(gossip.urgentFacts());
    ConfigurationHead own = head.get();
    pulls.recordHead(gossip.source(), gossip.head(), own);
    freshness.recordPeerConfirmation(gossip.head(), gossip.confirmationAge(), own, now);
    table
        .find(gossip.source())
        .filter(record -> !record.zone().equals(table.self().zone()))
        .ifPresent(record -> lastHeardOutsideZone = now);
  }

  private void mergeStatus(StatusUpdate update, Instant now) {
    MemberRecord self = table.self();
    if (update.identifier().equals(self.identifier())) {
      refute(update, now);
      return;
    }
    table
        .find(update.identifier())
        .filter(held -> held.incarnation() == update.incarnation())
        .filter(held -> held.sequence() == update.sequence())
        .map(held -> held.withStatus(update.status()))
        .ifPresent(record -> mergeAndEnqueue(record, now));
  }

  /** Queues the status of a sender that is not held alive, so that it hears and refutes it. */
  private void enqueueStatusOfSource(String source) {
    table
        .find(source)
        .filter(record -> record.status() != MemberStatus.ALIVE)
        .ifPresent(record -> composer.enqueueMember(source));
  }

  /** Merges urgent facts and passes on those that are new. */
  public void mergeUrgentFacts(List<UrgentFact> facts) {
    urgentFacts.merge(facts).forEach(fact -> composer.enqueueUrgentFact(fact.subject()));
  }

  /** Passes on a fact that this daemon decided. */
  public List<OutgoingMessage> announceUrgentFact(UrgentFact fact) {
    composer.enqueueUrgentFact(fact.subject());
    return announce();
  }

  /** Merges a record and passes it on. */
  public void mergeRecord(MemberRecord record) {
    mergeAndEnqueue(record, clock.instant());
  }

  /** Merges records that a peer sent in bulk; they are known elsewhere and not passed on. */
  public void mergeBulkRecords(List<MemberRecord> records) {
    Instant now = clock.instant();
    records.forEach(record -> mergeIntoTable(record, now));
  }

  private void mergeAndEnqueue(MemberRecord record, Instant now) {
    if (mergeIntoTable(record, now)) {
      composer.enqueueMember(record.identifier());
    }
  }

  /** Merges a record; returns whether it changed what is known of another member. */
  private boolean mergeIntoTable(MemberRecord record, Instant now) {
    if (record.identifier().equals(table.self().identifier())) {
      refute(record.toStatusUpdate(), now);
      return false;
    }
    boolean changed = table.merge(record, now);
    if (changed) {
      suspicions.recordStatus(record, now);
    }
    return changed;
  }

  /** Moves the own record above a claim about this daemon that would override it. */
  private void refute(StatusUpdate claim, Instant now) {
    MemberRecord self = table.self();
    if (!claim.isNewerThan(self.toStatusUpdate())) {
      return;
    }
    MemberRecord above =
        new MemberRecord(
            self.identifier(),
            claim.incarnation(),
            claim.sequence(),
            self.status(),
            self.zone(),
            self.callAddress(),
            self.labels(),
            self.upstreams());
    table.merge(above.next(self.status(), self.upstreams()), now);
    composer.enqueueMember(self.identifier());
    increaseHealthPenalty(1);
  }

  // -- announcements

  /** Tells a few random members of the head, records and facts held now. */
  public List<OutgoingMessage> announce() {
    return table.randomPresent(settings.fanout(), random).stream()
        .map(member -> new OutgoingMessage(member.identifier(), new Announcement(gossip())))
        .toList();
  }

  /** Announces the upstreams beside this daemon and its own status. */
  public List<OutgoingMessage> announceSelf(
      MemberStatus status, List<AnnouncedUpstream> upstreams) {
    table.merge(table.self().next(status, upstreams), clock.instant());
    composer.enqueueMember(table.self().identifier());
    return announce();
  }

  /** Sends a first probe to an address at which a member is expected. */
  public OutgoingMessage introduce(String address) {
    return new OutgoingMessage(
        address, new Probe(gossip(), probes.newNumber(), table.self().identifier()));
  }

  private Gossip gossip() {
    return composer.compose();
  }

  // -- queries

  /** Returns the members known. */
  public MembershipTable table() {
    return table;
  }

  /** Returns when a daemon of another zone was last heard, or when this one started. */
  public Instant lastReceivedFromOtherZone() {
    return lastHeardOutsideZone;
  }

  /** Returns whether members of other zones are known, alive or not, that did not leave. */
  public boolean hasMembersInOtherZones() {
    return table
        .all()
        .filter(record -> record.status() != MemberStatus.LEFT)
        .anyMatch(record -> !record.zone().equals(table.self().zone()));
  }

  /** Returns how many records wait to be passed on. */
  public int backlog() {
    return composer.backlog();
  }

  /** Returns the members that are alive, the daemon itself included. */
  public Stream<MemberRecord> alive() {
    return table.all().filter(record -> record.status() == MemberStatus.ALIVE);
  }

  /** Returns the record of a member if it is present. */
  public Optional<MemberRecord> findPresent(String identifier) {
    return table.find(identifier).filter(record -> record.status().isPresent());
  }
}
