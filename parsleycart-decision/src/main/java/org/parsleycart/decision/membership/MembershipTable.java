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
 * The newest record of each known member.
 *
 * <p>Records of members that are dead or left are kept as tombstones for a limited time, so that a
 * delayed older record does not make them present again. Not thread-safe: used by one thread.
 */
public final class MembershipTable {
  private static final int NOT_PRESENT = -1;

  private final Map<String, Entry> entries = new HashMap<>();
  private final List<Entry> present = new ArrayList<>();
  private final String self;
  private long changeCount;

  private static final class Entry {
    private MemberRecord record;
    private Instant statusSince;
    private int position = NOT_PRESENT;

    private Entry(MemberRecord record, Instant statusSince) {
      this.record = record;
      this.statusSince = statusSince;
    }
  }

  // -- construction

  /** Creates a table that holds only the daemon's own record. */
  public MembershipTable(MemberRecord self, Instant now) {
    this.self = requireNonNull(self, "self is null").identifier();
    store(self, now);
  }

  // -- updates

  /** Merges a record and returns whether it was newer than the one in the table. */
  public boolean merge(MemberRecord record, Instant now) {
    requireNonNull(record, "record is null");
    Entry existing = entries.get(record.identifier());
    if (existing != null && !record.isNewerThan(existing.record)) {
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
        .removeIf(
            entry -> !entry.record.status().isPresent() && entry.statusSince.isBefore(oldest));
  }

  private void store(MemberRecord record, Instant now) {
    Entry entry = entries.computeIfAbsent(record.identifier(), unused -> new Entry(record, now));
    if (entry.record.status() != record.status()) {
      entry.statusSince = now;
    }
    entry.record = record;
    updatePresent(entry);
    changeCount++;
  }

  private void updatePresent(Entry entry) {
    MemberRecord record = entry.record;
    boolean isPresentPeer = record.status().isPresent() && !record.identifier().equals(self);
    if (isPresentPeer && entry.position == NOT_PRESENT) {
      entry.position = present.size();
      present.add(entry);
    } else if (!isPresentPeer && entry.position != NOT_PRESENT) {
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

  /** Returns the record of this daemon. */
  public MemberRecord self() {
    return entries.get(self).record;
  }

  /** Returns the record of a member, possibly a tombstone, or empty when the member is unknown. */
  public Optional<MemberRecord> find(String identifier) {
    return Optional.ofNullable(entries.get(identifier)).map(entry -> entry.record);
  }

  /** Returns all records, including tombstones. */
  public Stream<MemberRecord> all() {
    return entries.values().stream().map(entry -> entry.record);
  }

  /** Returns the number of present members, including this daemon. */
  public int size() {
    return present.size() + 1;
  }

  /** Returns a counter that increases with every change of a record. */
  public long changeCount() {
    return changeCount;
  }

  /** Returns a random present member other than this daemon, or empty when there is none. */
  public Optional<MemberRecord> randomPresent(RandomGenerator random) {
    return present.isEmpty()
        ? Optional.empty()
        : Optional.of(present.get(random.nextInt(present.size())).record);
  }

  /** Returns a random dead member, or empty when there is none. */
  public Optional<MemberRecord> randomDead(RandomGenerator random) {
    List<MemberRecord> dead = all().filter(record -> record.status() == MemberStatus.DEAD).toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  /**
   * Returns at most {@code count} distinct random present members other than this daemon. The
   * result may be shorter, because it makes at most four draws per requested member.
   */
  public List<MemberRecord> randomPresent(int count, RandomGenerator random) {
    int limit = Math.min(count, present.size());
    return Stream.generate(() -> random.nextInt(present.size()))
        .limit(4L * limit)
        .distinct()
        .limit(limit)
        .map(position -> present.get(position).record)
        .toList();
  }
}
