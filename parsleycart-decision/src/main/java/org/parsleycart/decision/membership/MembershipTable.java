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
  private static final int NOT_PRESENT = -1;

  private final Map<String, Entry> entries = new HashMap<>();
  private final List<Entry> present = new ArrayList<>();
  private final String self;
  private long changes;

  private static final class Entry {
    private MemberRecord record;
    private Instant since;
    private int position = NOT_PRESENT;

    private Entry(MemberRecord record, Instant since) {
      this.record = record;
      this.since = since;
    }
  }

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
    Entry held = entries.get(record.identifier());
    if (held != null && !record.isNewerThan(held.record)) {
      return false;
    }
    store(record, now);
    return true;
  }

  /** Removes tombstones older than the given age. */
  public void removeTombstones(Duration age, Instant now) {
    Instant oldest = now.minus(age);
    entries
        .values()
        .removeIf(entry -> !entry.record.status().isPresent() && entry.since.isBefore(oldest));
  }

  private void store(MemberRecord record, Instant now) {
    Entry entry = entries.computeIfAbsent(record.identifier(), unused -> new Entry(record, now));
    if (entry.record.status() != record.status()) {
      entry.since = now;
    }
    entry.record = record;
    updatePresent(entry);
    changes++;
  }

  private void updatePresent(Entry entry) {
    MemberRecord record = entry.record;
    boolean wanted = record.status().isPresent() && !record.identifier().equals(self);
    if (wanted && entry.position == NOT_PRESENT) {
      entry.position = present.size();
      present.add(entry);
    } else if (!wanted && entry.position != NOT_PRESENT) {
      removePresent(entry);
    }
  }

  private void removePresent(Entry entry) {
    Entry last = present.remove(present.size() - 1);
    if (last != entry) {
      present.set(entry.position, last);
      last.position = entry.position;
    }
    entry.position = NOT_PRESENT;
  }

  // -- queries

  /** Returns the record of the daemon itself. */
  public MemberRecord self() {
    return entries.get(self).record;
  }

  /** Returns the record of a member. */
  public Optional<MemberRecord> find(String identifier) {
    return Optional.ofNullable(entries.get(identifier)).map(entry -> entry.record);
  }

  /** Returns all records, tombstones included. */
  public Stream<MemberRecord> all() {
    return entries.values().stream().map(entry -> entry.record);
  }

  /** Returns how many members are present, the daemon itself included. */
  public int size() {
    return present.size() + 1;
  }

  /** Returns a count that grows with every change of a record. */
  public long changeCount() {
    return changes;
  }

  /** Returns a random present member other than the daemon itself. */
  public Optional<MemberRecord> randomPresent(RandomGenerator random) {
    return present.isEmpty()
        ? Optional.empty()
        : Optional.of(present.get(random.nextInt(present.size())).record);
  }

  /** Returns a random member held dead. */
  public Optional<MemberRecord> randomDead(RandomGenerator random) {
    List<MemberRecord> dead = all().filter(record -> record.status() == MemberStatus.DEAD).toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  /** Returns up to the given number of distinct random present members other than itself. */
  public List<MemberRecord> randomPresent(int count, RandomGenerator random) {
    int wanted = Math.min(count, present.size());
    return Stream.generate(() -> random.nextInt(present.size()))
        .limit(4L * wanted)
        .distinct()
        .limit(wanted)
        .map(position -> present.get(position).record)
        .toList();
  }
}
