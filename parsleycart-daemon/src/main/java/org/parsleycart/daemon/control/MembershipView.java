package org.parsleycart.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.membership.RendezvousHash;

/**
 * An immutable snapshot of the members that any thread may read.
 *
 * @param self the record of this daemon
 * @param records all records, including tombstones and the record of this daemon
 */
public record MembershipView(MemberRecord self, List<MemberRecord> records) {

  // -- construction

  public MembershipView {
    records = List.copyOf(records);
  }

  // -- queries

  /** Returns the members that are alive, including this daemon. */
  public Stream<MemberRecord> alive() {
    return records.stream().filter(record -> record.status() == MemberStatus.ALIVE);
  }

  /** Returns the sorted identifiers of all members that are present, except this daemon. */
  public List<String> otherIdentifiers() {
    return records.stream()
        .filter(record -> record.status().isPresent())
        .map(MemberRecord::identifier)
        .filter(identifier -> !identifier.equals(self.identifier()))
        .sorted()
        .toList();
  }

  /**
   * Returns whether this daemon is among the first living members by rendezvous hashing.
   *
   * @param key what the members are chosen for
   * @param count how many are chosen
   */
  public boolean isSelfAmongOwners(String key, int count) {
    return RendezvousHash.owners(alive().map(MemberRecord::identifier), key, count)
        .contains(self.identifier());
  }

  /** Returns the number of members that are present, including this daemon. */
  public int size() {
    return (int) records.stream().filter(record -> record.status().isPresent()).count();
  }

  /** Returns the record of a member, or empty if the member is unknown. */
  public Optional<MemberRecord> find(String identifier) {
    return records.stream().filter(record -> record.identifier().equals(identifier)).findFirst();
  }
}
