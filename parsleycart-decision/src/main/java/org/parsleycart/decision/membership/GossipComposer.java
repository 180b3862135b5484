package org.parsleycart.decision.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.RequestEvidence.Subject;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.quarantine.RequestQuarantine;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.ResourceReference;

/** Assembles the gossip of each datagram from the queued updates, within the size limits. */
final class GossipComposer {
  private static final int MAXIMUM_CANDIDATE_RECORDS = 64;
  private static final int MAXIMUM_URGENT_FACTS = 4;
  private static final int MAXIMUM_EVIDENCE = 2;

  private final MembershipTable table;
  private final GossipSettings settings;
  private final Supplier<ConfigurationHead> head;
  private final Supplier<Optional<Duration>> confirmationAge;
  private final UrgentFacts urgentFacts;
  private final RequestQuarantine quarantine;
  private final DisseminationQueue<String> memberQueue = new DisseminationQueue<>();
  private final DisseminationQueue<ResourceReference> urgentFactQueue = new DisseminationQueue<>();
  private final DisseminationQueue<Subject> evidenceQueue = new DisseminationQueue<>();
  private boolean isUrgent;

  // -- construction

  GossipComposer(
      MembershipTable table,
      GossipSettings settings,
      Supplier<ConfigurationHead> head,
      Supplier<Optional<Duration>> confirmationAge,
      UrgentFacts urgentFacts,
      RequestQuarantine quarantine) {
    this.table = table;
    this.settings = settings;
    this.head = head;
    this.confirmationAge = confirmationAge;
    this.urgentFacts = urgentFacts;
    this.quarantine = quarantine;
  }

  // -- queueing

  /** Queues the record of a member for the next datagrams. */
  void enqueueMember(String member) {
    memberQueue.add(member);
  }

  /** Queues the urgent fact about a subject for the next datagrams. */
  void enqueueUrgentFact(ResourceReference subject) {
    urgentFactQueue.add(subject);
  }

  /** Queues the status of a sender that is not alive, so that the sender can refute it. */
  void enqueueUnlessAlive(String source) {
    table
        .find(source)
        .filter(record -> record.status() != MemberStatus.ALIVE)
        .ifPresent(record -> enqueueMember(source));
  }

  /** Merges evidence on requests and queues what was not known. */
  void mergeEvidence(List<RequestEvidence> received) {
    List<RequestEvidence> changed = quarantine.merge(received);
    changed.forEach(this::enqueueEvidence);
    isUrgent |= changed.stream().anyMatch(quarantine::isUrgent);
  }

  /** Returns whether urgent evidence was merged since the last call of this method. */
  boolean takeUrgency() {
    boolean wasUrgent = isUrgent;
    isUrgent = false;
    return wasUrgent;
  }

  /** Queues evidence on requests for the next datagrams. */
  void enqueueEvidence(RequestEvidence evidence) {
    evidenceQueue.add(evidence.subject());
  }

  /** Returns the number of queued member records. */
  int backlog() {
    return memberQueue.size();
  }

  // -- composing

  /** Returns the gossip for one datagram and counts its records and facts as sent once more. */
  Gossip compose() {
    int fleetSize = table.size();
    List<MemberRecord> records = new ArrayList<>();
    List<StatusUpdate> statuses = new ArrayList<>();
    memberQueue.leastSent(MAXIMUM_CANDIDATE_RECORDS).stream()
        .flatMap(member -> table.find(member).stream())
        .filter(record -> addWithinLimit(records, statuses, record))
        .forEach(record -> memberQueue.recordTransmission(record.identifier(), fleetSize));
    List<ResourceReference> subjects = urgentFactQueue.leastSent(MAXIMUM_URGENT_FACTS);
    subjects.forEach(subject -> urgentFactQueue.recordTransmission(subject, fleetSize));
    List<UrgentFact> facts =
        subjects.stream().flatMap(subject -> urgentFacts.find(subject).stream()).toList();
    List<Subject> evidenceSubjects = evidenceQueue.leastSent(MAXIMUM_EVIDENCE);
    evidenceSubjects.forEach(subject -> evidenceQueue.recordTransmission(subject, fleetSize));
    List<RequestEvidence> evidence =
        evidenceSubjects.stream().flatMap(subject -> quarantine.find(subject).stream()).toList();
    // Read the age first: a head installed in between may be newer than the confirmed one.
    Optional<Duration> age = confirmationAge.get();
    return new Gossip(
        table.self().identifier(), head.get(), age, records, statuses, facts, evidence);
  }

  /**
   * Adds the whole record, or only its status when receivers do not need the content. Returns false
   * when the datagram already holds the maximum number of that kind.
   */
  private boolean addWithinLimit(
      List<MemberRecord> records, List<StatusUpdate> statuses, MemberRecord record) {
    boolean needsContent =
        record.status() == MemberStatus.ALIVE || record.status() == MemberStatus.LEFT;
    if (needsContent) {
      return records.size() < settings.recordsPerMessage() && records.add(record);
    }
    return statuses.size() < settings.statusesPerMessage() && statuses.add(record.toStatusUpdate());
  }
}
