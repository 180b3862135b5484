package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.parsleycart.decision.message.ControlMessage.MembershipRequest;

/**
 * Compares the records of two members by a digest of each bucket of records, so that only the
 * buckets that differ are sent. Records of members that are dead or left do not take part.
 */
public final class BucketDigests {
  private static final int RECORDS_PER_BUCKET = 16;
  private static final int MAXIMUM_BUCKETS = 256;
  private static final long MIXING_FACTOR = 0x9E3779B97F4A7C15L;

  private BucketDigests() {}

  // -- queries

  /** Returns the digests of the records, in a number of buckets that suits their count. */
  public static List<Long> of(Collection<MemberRecord> records) {
    requireNonNull(records, "records is null");
    int buckets = Math.max(1, Math.min(MAXIMUM_BUCKETS, records.size() / RECORDS_PER_BUCKET));
    return digests(records, buckets);
  }

  /** Returns the records of the buckets that differ from those of the request. */
  public static List<MemberRecord> recordsInDifferingBuckets(
      Collection<MemberRecord> records, MembershipRequest request) {
    requireNonNull(records, "records is null");
    List<Long> theirs = request.bucketDigests();
    if (theirs.isEmpty() || theirs.size() > MAXIMUM_BUCKETS) {
      return List.of();
    }
    List<Long> ours = digests(records, theirs.size());
    return present(records)
        .filter(
            record -> {
              int bucket = bucketOf(record, theirs.size());
              return !ours.get(bucket).equals(theirs.get(bucket));
            })
        .toList();
  }

  private static List<Long> digests(Collection<MemberRecord> records, int buckets) {
    long[] sums = new long[buckets];
    present(records).forEach(record -> sums[bucketOf(record, buckets)] += hash(record));
    return LongStream.of(sums).boxed().toList();
  }

  private static Stream<MemberRecord> present(Collection<MemberRecord> records) {
    return records.stream().filter(record -> record.status().isPresent());
  }

  private static int bucketOf(MemberRecord record, int buckets) {
    return Math.floorMod(record.identifier().hashCode(), buckets);
  }

  private static long hash(MemberRecord record) {
    long mixed = record.identifier().hashCode();
    mixed = mixed * MIXING_FACTOR + record.incarnation();
    mixed = mixed * MIXING_FACTOR + record.sequence();
    mixed = mixed * MIXING_FACTOR + record.status().code();
    return mixed ^ (mixed >>> 29);
  }
}
