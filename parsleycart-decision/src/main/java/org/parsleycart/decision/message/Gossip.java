package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.StatusUpdate;

/**
 * What rides on every datagram between daemons.
 *
 * @param source the identifier of the sender
 * @param head the newest configuration version that the sender holds
 * @param records member records passed on whole
 * @param statuses member statuses passed on without content
 * @param urgent facts that spread without the platform
 */
public record Gossip(
    String source,
    Head head,
    List<MemberRecord> records,
    List<StatusUpdate> statuses,
    List<UrgentFact> urgent) {

  // -- construction

  public Gossip {
    requireNonNull(source, "source is null");
    requireNonNull(head, "head is null");
    records = List.copyOf(records);
    statuses = List.copyOf(statuses);
    urgent = List.copyOf(urgent);
  }
}
