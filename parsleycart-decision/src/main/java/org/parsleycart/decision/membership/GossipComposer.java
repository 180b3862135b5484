package org.parsleycart.decision.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.decision.spreading.UrgentFacts;
import org.parsleycart.model.ResourceReference;

/** Composes what rides on each datagram, within its bounds, from the news that waits. */
final class GossipComposer {
  private static final int CONSIDERED_RECORDS = 64;
  private static final int URGENT_FACTS_PER_MESSAGE = 4;

  private final MembershipTable table;
  private final GossipSettings settings;
  private final Supplier<ConfigurationHead> head;
  private final Supplier<Optional<Duration>> confirmationAge;
  private final UrgentFacts urgentFacts;
  private final DisseminationQueue<String> members = new DisseminationQueue<>();
  private final DisseminationQueue<ResourceReference> urgentSubjects = new DisseminationQueue<>();

  // -- construction

  GossipComposer(
      MembershipTable table,
      GossipSettings settings,
      Supplier<ConfigurationHead> head,
      Supplier<Optional<Duration>> confirmationAge,
      UrgentFacts urgentFacts) {
    this.table = table;
    this.settings = settings;
    this.head = head;
    this.confirmationAge = confirmationAge;
    this.urgentFacts = urgentFacts;
  }

  // -- news

  /** Lets the record of a member ride on the next datagrams. */
  void enqueueMember(String member) {
    members.add(member);
  }

  /** Lets the urgent fact about a subject ride on the next datagrams. */
  void enqueueUrgentFact(ResourceReference subject) {
    urgentSubjects.add(subject);
  }

  /** Returns how many records wait. */
  int backlog() {
    return members.size();
  }

  // -- composing

  /** Returns the gossip of one datagram. */
  Gossip compose() {
    int fleet = table.size();
    List<MemberRecord> records = new ArrayList<>();
    List<StatusUpdate> statuses = new ArrayList<>();
    members.leastSent(CONSIDERED_RECORDS).stream()
        .flatMap(member -> table.find(member).stream())
        .filter(record -> addWithinLimit(records, statuses, record))
        .forEach(record -> members.recordTransmission(record.identifier(), fleet));
    List<ResourceReference> subjects = urgentSubjects.leastSent(URGENT_FACTS_PER_MESSAGE);
    subjects.forEach(subject -> urgentSubjects.recordTransmission(subject, fleet));
    List<UrgentFact> urgent =
        subjects.stream().flatMap(subject -> urgentFacts.find(subject).stream()).toList();
    // The age first: a head that arrives in between may be newer than what the age confirms.
    Optional<Duration> age = confirmationAge.get();
    return new Gossip(table.self().identifier(), head.get(), age, records, statuses, urgent);
  }

  /** Adds a record, whole when its content matters, unless the datagram is full of its like. */
  private boolean addWithinLimit(
      List<MemberRecord> records, List<StatusUpdate> statuses, MemberRecord record) {
    boolean contentMatters =
        record.status() == MemberStatus.ALIVE || record.status() == MemberStatus.LEFT;
    if (contentMatters) {
      return records.size() < settings.recordsPerMessage() && records.add(record);
    }
    return statuses.size() < settings.statusesPerMessage() && statuses.add(record.toStatusUpdate());
  }
}
