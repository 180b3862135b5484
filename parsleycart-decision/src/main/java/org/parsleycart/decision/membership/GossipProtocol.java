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
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.decision.spreading.Freshness;
import org.parsleycart.decision.spreading.PullPlanner;
import org.parsleycart.decision.spreading.UrgentFacts;

/**
 * Probes random members, suspects those that do not acknowledge, and attaches member records,
 * configuration heads and urgent facts to every datagram.
 *
 * <p>Implements SWIM (Das, Gupta, Motivala 2002) with the local health awareness of Lifeguard
 * (Dadgar, Phillips, Currey 2017): a process that was paused, or whose probes mostly fail, waits
 * longer before it suspects other members. Not thread-safe: used by one thread.
 */
public final class GossipProtocol {
  /** Each point of the health penalty adds the configured timeout once more. */
  private static final int MAXIMUM_HEALTH_PENALTY = 2;

  private static final int PROBES_PER_RECONNECTION_ATTEMPT = 5;

  /** A gap of more than this many probe intervals between two ticks counts as a process pause. */
  private static final int PAUSE_INTERVALS = 4;

  private final MembershipTable table;
  private final GossipSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Supplier<ConfigurationHead> head;
  private final Freshness freshness;
  private final UrgentFacts urgentFacts;
  private final PullPlanner pullPlanner;
  private final GossipComposer composer;
  private final OutstandingProbes probes = new OutstandingProbes();
  private final SuspicionTimers suspicionTimers = new SuspicionTimers();
  private int healthPenalty;
  private int probesSinceReconnectionAttempt;
  private Instant nextProbeAt;
  private Instant lastTickAt;
  private Instant lastReceivedFromOtherZone;

  // -- construction

  /**
   * Creates the protocol of one daemon.
   *
   * @param head supplies the configuration head to announce
   * @param freshness supplies the age of the last confirmation, and records those of other members
   * @param urgentFacts the facts to disseminate; received facts are merged into it
   * @param pullPlanner records the heads that other members announce
   * @param quarantine the evidence on requests to disseminate; received evidence is merged into it
   */
  public GossipProtocol(
      MembershipTable table,
      GossipSettings settings,
      InstantSource clock,
      RandomGenerator random,
      Supplier<ConfigurationHead> head,
      Freshness freshness,
      UrgentFacts urgentFacts,
      PullPlanner pullPlanner,
      RequestQuarantine quarantine) {
    this.table = requireNonNull(table, "table is null");
    this.settings = requireNonNull(settings, "settings is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.random = requireNonNull(random, "random is null");
    this.head = requireNonNull(head, "head is null");
    this.freshness = requireNonNull(freshness, "freshness is null");
    this.urgentFacts = requireNonNull(urgentFacts, "urgentFacts is null");
    this.pullPlanner = requireNonNull(pullPlanner, "pullPlanner is null");
    this.composer =
        new GossipComposer(
            table,
            settings,
            head,
            () -> freshness.confirmationAge(clock.instant()),
            urgentFacts,
            requireNonNull(quarantine, "quarantine is null"));
    Instant now = clock.instant();
    this.nextProbeAt = now.plus(jittered(settings.probeInterval()));
    this.lastTickAt = now;
    this.lastReceivedFromOtherZone = now;
    composer.enqueueMember(table.self().identifier());
  }

  // -- time

  /** Declares overdue members suspected or dead, and returns the probes to send now. */
  public List<OutgoingMessage> tick() {
    Instant now = clock.instant();
    if (lastTickAt.plus(settings.probeInterval().multipliedBy(PAUSE_INTERVALS)).isBefore(now)) {
      restartTimersAfterPause(now);
    }
    lastTickAt = now;
    List<OutgoingMessage> outgoing = new ArrayList<>();
    handleOverdueProbes(now, outgoing);
    declareOverdueSuspectsDead(now);
    if (!now.isBefore(nextProbeAt)) {
      nextProbeAt = now.plus(jittered(settings.probeInterval()));
      table.randomPresent(random).ifPresent(member -> probe(member.identifier(), now, outgoing));
      reconnectWhenDue(outgoing);
      table.removeTombstones(settings.tombstoneAge(), now);
    }
    return outgoing;
  }

  /** Probes a dead member every few intervals, to reconnect after a network partition. */
  private void reconnectWhenDue(List<OutgoingMessage> outgoing) {
    probesSinceReconnectionAttempt++;
    if (probesSinceReconnectionAttempt < PROBES_PER_RECONNECTION_ATTEMPT) {
      return;
    }
    probesSinceReconnectionAttempt = 0;
    table.randomDead(random).ifPresent(member -> outgoing.add(introduce(member.identifier())));
  }

  private void restartTimersAfterPause(Instant now) {
    probes.clearOwn();
    suspicionTimers.restartAll(now);
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
      if (probe.isIndirect()) {
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
    for (String member : suspicionTimers.removeOverdue(timeout, now)) {
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

  /** Processes a received datagram and returns the messages to send in response. */
  public List<OutgoingMessage> receive(ControlMessage message) {
    requireNonNull(message, "message is null");
    List<OutgoingMessage> responses = respond(message, clock.instant());
    return composer.takeUrgency()
        ? Stream.concat(responses.stream(), announce().stream()).toList()
        : responses;
  }

  private List<OutgoingMessage> respond(ControlMessage message, Instant now) {
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
    Optional<OutstandingProbes.RelayedProbe> probe = probes.removeRelayed(acknowledgement.number());
    if (probe.isPresent()) {
      Acknowledgement forwarded =
          new Acknowledgement(gossip(), probe.get().originNumber(), acknowledgement.subject());
      return List.of(new OutgoingMessage(probe.get().origin(), forwarded));
    }
    if (probes.acknowledge(acknowledgement.number(), acknowledgement.subject())) {
      healthPenalty = Math.max(0, healthPenalty - 1);
    }
    return List.of();
  }

  private void processGossip(Gossip gossip, Instant now) {
    gossip.records().forEach(record -> mergeAndEnqueue(record, now));
    gossip.statuses().forEach(update -> mergeStatus(update, now));
    composer.enqueueUnlessAlive(gossip.source());
    mergeUrgentFacts(gossip.urgentFacts());
    mergeRequestEvidence(gossip.requestEvidence());
    ConfigurationHead ownHead = head.get();
    pullPlanner.recordHead(gossip.source(), gossip.head(), ownHead);
    freshness.recordPeerConfirmation(gossip.head(), gossip.confirmationAge(), ownHead, now);
    table
        .find(gossip.source())
        .filter(record -> !record.zone().equals(table.self().zone()))
        .ifPresent(record -> lastReceivedFromOtherZone = now);
  }

  private void mergeStatus(StatusUpdate update, Instant now) {
    MemberRecord self = table.self();
    if (update.identifier().equals(self.identifier())) {
      refute(update, now);
      return;
    }
    table
        .find(update.identifier())
        .filter(record -> record.incarnation() == update.incarnation())
        .filter(record -> record.sequence() == update.sequence())
        .map(record -> record.withStatus(update.status()))
        .ifPresent(record -> mergeAndEnqueue(record, now));
  }

  /** Merges urgent facts and queues those that changed for dissemination. */
  public void mergeUrgentFacts(List<UrgentFact> facts) {
    urgentFacts.merge(facts).forEach(fact -> composer.enqueueUrgentFact(fact.subject()));
  }

  /** Merges evidence on requests and queues what was not known for dissemination. */
  public void mergeRequestEvidence(List<RequestEvidence> evidence) {
    composer.mergeEvidence(evidence);
  }

  /** Queues evidence found by this daemon and returns announcements for a few random members. */
  public List<OutgoingMessage> announceRequestEvidence(List<RequestEvidence> evidence) {
    evidence.forEach(composer::enqueueEvidence);
    return announce();
  }

  /** Queues a fact decided by this daemon and returns announcements for a few random members. */
  public List<OutgoingMessage> announceUrgentFact(UrgentFact fact) {
    composer.enqueueUrgentFact(fact.subject());
    return announce();
  }

  /** Merges a record and queues it for dissemination if it changed. */
  public void mergeRecord(MemberRecord record) {
    mergeAndEnqueue(record, clock.instant());
  }

  /** Merges records sent in bulk. They are not disseminated: other members already hold them. */
  public void mergeBulkRecords(List<MemberRecord> records) {
    Instant now = clock.instant();
    records.forEach(record -> mergeIntoTable(record, now));
  }

  private void mergeAndEnqueue(MemberRecord record, Instant now) {
    if (mergeIntoTable(record, now)) {
      composer.enqueueMember(record.identifier());
    }
  }

  /** Merges a record and returns whether the record of another member changed. */
  private boolean mergeIntoTable(MemberRecord record, Instant now) {
    if (record.identifier().equals(table.self().identifier())) {
      refute(record.toStatusUpdate(), now);
      return false;
    }
    boolean hasChanged = table.merge(record, now);
    if (hasChanged) {
      suspicionTimers.recordStatus(record, now);
    }
    return hasChanged;
  }

  /** Replaces the record of this daemon by a newer one if the claim would override it. */
  private void refute(StatusUpdate claim, Instant now) {
    MemberRecord self = table.self();
    if (!claim.isNewerThan(self.toStatusUpdate())) {
      return;
    }
    MemberRecord recordAtClaim =
        new MemberRecord(
            self.identifier(),
            claim.incarnation(),
            claim.sequence(),
            self.status(),
            self.zone(),
            self.callAddress(),
            self.labels(),
            self.upstreams());
    table.merge(recordAtClaim.next(self.status(), self.upstreams()), now);
    composer.enqueueMember(self.identifier());
    increaseHealthPenalty(1);
  }

  // -- announcements

  /** Returns announcements with the current gossip for a few random members. */
  public List<OutgoingMessage> announce() {
    return table.randomPresent(settings.fanout(), random).stream()
        .map(member -> new OutgoingMessage(member.identifier(), new Announcement(gossip())))
        .toList();
  }

  /** Updates this daemon's own record and announces it to a few random members. */
  public List<OutgoingMessage> announceSelf(
      MemberStatus status, List<AnnouncedUpstream> upstreams) {
    table.merge(table.self().next(status, upstreams), clock.instant());
    composer.enqueueMember(table.self().identifier());
    return announce();
  }

  /** Returns a first probe to an address at which a member is expected. */
  public OutgoingMessage introduce(String address) {
    return new OutgoingMessage(
        address, new Probe(gossip(), probes.newNumber(), table.self().identifier()));
  }

  private Gossip gossip() {
    return composer.compose();
  }

  // -- queries

  public MembershipTable table() {
    return table;
  }

  /** Returns when a message from another zone was last received, or the start of this daemon. */
  public Instant lastReceivedFromOtherZone() {
    return lastReceivedFromOtherZone;
  }

  /** Returns whether any member of another zone is known, dead or alive, that has not left. */
  public boolean hasMembersInOtherZones() {
    return table
        .all()
        .filter(record -> record.status() != MemberStatus.LEFT)
        .anyMatch(record -> !record.zone().equals(table.self().zone()));
  }

  /** Returns the number of member records that are queued for dissemination. */
  public int backlog() {
    return composer.backlog();
  }

  /** Returns all alive members, including this daemon. */
  public Stream<MemberRecord> alive() {
    return table.all().filter(record -> record.status() == MemberStatus.ALIVE);
  }

  /** Returns the record of a member, or empty when the member is unknown, dead or left. */
  public Optional<MemberRecord> findPresent(String identifier) {
    return table.find(identifier).filter(record -> record.status().isPresent());
  }
}
