package org.parsleycart.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;

/**
 * The members at one moment, for all threads to read.
 *
 * @param self the record of this daemon
 * @param records all records, tombstones and this daemon's own included
 */
public record MembershipView(MemberRecord self, List<MemberRecord> records) {

  // -- construction

  public MembershipView {
    records = List.copyOf(records);
  }

  // -- queries

  /** Returns the members that are alive, this daemon included. */
  public Stream<MemberRecord> alive() {
    return records.stream().filter(record -> record.status() == MemberStatus.ALIVE);
  }

  /** Returns the identifiers of all members that are present, this daemon excluded. */
  public List<String> otherIdentifiers() {
    return records.stream()
        .filter(record -> record.status().isPresent())
        .map(MemberRecord::identifier)
        .filter(identifier -> !identifier.equals(self.identifier()))
        .sorted()
        .toList();
  }

  /** Returns the number of members that are present, this daemon included. */
  public int size() {
    return (int) records.stream().filter(record -> record.status().isPresent()).count();
  }

  /** Returns the record of a member. */
  public Optional<MemberRecord> find(String identifier) {
    return records.stream().filter(record -> record.identifier().equals(identifier)).findFirst();
  }
}
