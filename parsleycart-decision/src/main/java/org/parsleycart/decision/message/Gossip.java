package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.StatusUpdate;

/**
 * The gossip that is attached to every datagram between daemons.
 *
 * @param source the identifier of the sender
 * @param head the newest configuration version that the sender holds
 * @param confirmationAge the time since the platform last confirmed that version as the newest,
 *     empty when unknown
 * @param records member records with their content
 * @param statuses member statuses without content
 * @param urgentFacts facts that are disseminated without the platform
 * @param requestEvidence what became of requests at upstreams
 */
public record Gossip(
    String source,
    ConfigurationHead head,
    Optional<Duration> confirmationAge,
    List<MemberRecord> records,
    List<StatusUpdate> statuses,
    List<UrgentFact> urgentFacts,
    List<RequestEvidence> requestEvidence) {

  // -- construction

  public Gossip {
    requireNonNull(source, "source is null");
    requireNonNull(head, "head is null");
    requireNonNull(confirmationAge, "confirmationAge is null");
    records = List.copyOf(records);
    statuses = List.copyOf(statuses);
    urgentFacts = List.copyOf(urgentFacts);
    requestEvidence = List.copyOf(requestEvidence);
  }

  /** Creates gossip without evidence on requests. */
  public Gossip(
      String source,
      ConfigurationHead head,
      Optional<Duration> confirmationAge,
      List<MemberRecord> records,
      List<StatusUpdate> statuses,
      List<UrgentFact> urgentFacts) {
    this(source, head, confirmationAge, records, statuses, urgentFacts, List.of());
  }
}
