package org.parsleycart.decision.membership;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.parsleycart.decision.message.ControlMessage.MembershipRequest;

/**
 * Anti-entropy comparison of the member records of two daemons. Records are grouped into buckets,
 * and only buckets whose digests differ are sent. Records of members that are dead or left are
 * excluded.
 */
public final class BucketDigests {
  private static final int RECORDS_PER_BUCKET = 16;
  private static final int MAXIMUM_BUCKETS = 256;

  /** 2^64 divided by the golden ratio, a common multiplier for hashing. */
  private static final long MIXING_FACTOR = 0x9E3779B97F4A7C15L;

  private BucketDigests() {}

  // -- queries

  /**
   * Returns one digest per bucket. There is about one bucket for every 16 records, at least 1 and
   * at most 256.
   */
  public static List<Long> of(Collection<MemberRecord> records) {
    requireNonNull(records, "records is null");
    int buckets = Math.max(1, Math.min(MAXIMUM_BUCKETS, records.size() / RECORDS_PER_BUCKET));
    return digests(records, buckets);
  }

  /**
   * Returns the records in buckets whose digest differs from that of the request. The result is
   * empty when the request has no buckets or more than 256.
   */
  public static List<MemberRecord> recordsInDifferingBuckets(
      Collection<MemberRecord> records, MembershipRequest request) {
    requireNonNull(records, "records is null");
    List<Long> requestDigests = request.bucketDigests();
    if (requestDigests.isEmpty() || requestDigests.size() > MAXIMUM_BUCKETS) {
      return List.of();
    }
    List<Long> ownDigests = digests(records, requestDigests.size());
    return present(records)
        .filter(
            record -> {
              int bucket = bucketOf(record, requestDigests.size());
              return !ownDigests.get(bucket).equals(requestDigests.get(bucket));
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
    long hash = record.identifier().hashCode();
    hash = hash * MIXING_FACTOR + record.incarnation();
    hash = hash * MIXING_FACTOR + record.sequence();
    hash = hash * MIXING_FACTOR + record.status().code();
    return hash ^ (hash >>> 29);
  }
}
