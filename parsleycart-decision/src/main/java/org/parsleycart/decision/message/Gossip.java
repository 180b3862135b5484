package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.StatusUpdate;

/**
 * What rides on every datagram between daemons.
 *
 * @param source the identifier of the sender
 * @param head the newest configuration version that the sender holds
 * @param confirmationAge how long ago that was known to be the newest at the platform, if known
 * @param records member records passed on whole
 * @param statuses member statuses passed on without content
 * @param urgentFacts facts that spread without the platform
 */
public record Gossip(
    String source,
    ConfigurationHead head,
    Optional<Duration> confirmationAge,
    List<MemberRecord> records,
    List<StatusUpdate> statuses,
    List<UrgentFact> urgentFacts) {

  // -- construction

  public Gossip {
    requireNonNull(source, "source is null");
    requireNonNull(head, "head is null");
    requireNonNull(confirmationAge, "confirmationAge is null");
    records = List.copyOf(records);
    statuses = List.copyOf(statuses);
    urgentFacts = List.copyOf(urgentFacts);
  }
}
