package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * The records of all known members, each the largest seen.
 *
 * <p>Used by one thread. Members that are dead or left stay as tombstones for a while, so that an
 * old record that arrives late does not bring them back.
 */
public final class MembershipTable {
  private final Map<String, MemberRecord> records = new HashMap<>();
  private final Map<String, Instant> statusSince = new HashMap<>();
  private final List<String> present = new ArrayList<>();
  private final Map<String, Integer> presentPositions = new HashMap<>();
  private final String self;
  private long changes;

  // -- construction

  /** Creates a table that holds only the daemon's own record. */
  public MembershipTable(MemberRecord self, Instant now) {
    this.self = requireNonNull(self, "self is null").identifier();
    store(self, now);
  }

  // -- updates

  /**
   * Merges a record.
   *
   * @param record the record
   * @param now the time
   * @return whether the table changed
   */
  public boolean merge(MemberRecord record, Instant now) {
    requireNonNull(record, "record is null");
    MemberRecord held = records.get(record.identifier());
    if (held != null && !record.isNewerThan(held)) {
      return false;
    }
    store(record, now);
    return true;
  }

  /** Removes tombstones older than the given age. */
  public void removeTombstones(Duration age, Instant now) {
    List<String> expired =
        records.values().stream()
            .filter(record -> !record.status().isPresent())
            .map(MemberRecord::identifier)
            .filter(identifier -> statusSince.get(identifier).plus(age).isBefore(now))
            .toList();
    expired.forEach(records::remove);
    expired.forEach(statusSince::remove);
  }

  private void store(MemberRecord record, Instant now) {
    MemberRecord held = records.put(record.identifier(), record);
    if (held == null || held.status() != record.status()) {
      statusSince.put(record.identifier(), now);
    }
    updatePresent(record);
    changes++;
  }

  private void updatePresent(MemberRecord record) {
    boolean listed = presentPositions.containsKey(record.identifier());
    boolean wanted = record.status().isPresent() && !record.identifier().equals(self);
    if (wanted && !listed) {
      presentPositions.put(record.identifier(), present.size());
      present.add(record.identifier());
    } else if (!wanted && listed) {
      removePresent(record.identifier());
    }
  }

  private void removePresent(String identifier) {
    int position = presentPositions.remove(identifier);
    String last = present.remove(present.size() - 1);
    if (!last.equals(identifier)) {
      present.set(position, last);
      presentPositions.put(last, position);
    }
  }

  // -- queries

  /** Returns the record of the daemon itself. */
  public MemberRecord self() {
    return records.get(self);
  }

  /** Returns the record of a member. */
  public Optional<MemberRecord> find(String identifier) {
    return Optional.ofNullable(records.get(identifier));
  }

  /** Returns all records, tombstones included. */
  public Stream<MemberRecord> all() {
    return records.values().stream();
  }

  /** Returns when the member came to its status. */
  public Instant since(String identifier) {
    return statusSince.getOrDefault(identifier, Instant.MIN);
  }

  /** Returns how many members are present, the daemon itself included. */
  public int size() {
    return present.size() + 1;
  }

  /** Returns a count that grows with every change of a record. */
  public long changes() {
    return changes;
  }

  /** Returns a random present member other than the daemon itself. */
  public Optional<MemberRecord> random(RandomGenerator random) {
    return present.isEmpty()
        ? Optional.empty()
        : Optional.of(records.get(present.get(random.nextInt(present.size()))));
  }

  /** Returns a random member held dead. */
  public Optional<MemberRecord> randomDead(RandomGenerator random) {
    List<MemberRecord> dead =
        records.values().stream().filter(record -> record.status() == MemberStatus.DEAD).toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  /** Returns up to the given number of distinct random present members other than itself. */
  public List<MemberRecord> random(int count, RandomGenerator random) {
    int wanted = Math.min(count, present.size());
    return Stream.generate(() -> random.nextInt(present.size()))
        .limit(4L * wanted)
        .distinct()
        .limit(wanted)
        .map(position -> records.get(present.get(position)))
        .toList();
  }
}
