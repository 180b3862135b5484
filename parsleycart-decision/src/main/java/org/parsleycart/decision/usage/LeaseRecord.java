package org.parsleycart.decision.usage;

import static java.util.Objects.requireNonNull;

import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;

/**
 * The content of the lease row.
 *
 * @param holder the name of the daemon that holds the lease
 * @param process distinguishes the processes of the holder
 * @param token the fencing token, one higher with each change of the holding process
 * @param isReleased whether the holder has given the lease back
 * @param reportedThrough the last window that the platform has accepted or that was abandoned;
 *     windows up to it are never reported again
 */
public record LeaseRecord(
    String holder, String process, long token, boolean isReleased, long reportedThrough) {
  private static final String HOLDER = "holder";
  private static final String PROCESS = "process";
  private static final String TOKEN = "token";
  private static final String RELEASED = "released";
  private static final String REPORTED_THROUGH = "reportedThrough";

  // -- construction

  public LeaseRecord {
    requireNonNull(holder, "holder is null");
    requireNonNull(process, "process is null");
  }

  /** Reads the form returned by {@link #toDocument}. */
  public static LeaseRecord read(MappingReader reader) {
    return new LeaseRecord(
        reader.requiredText(HOLDER),
        reader.requiredText(PROCESS),
        reader.requiredNumber(TOKEN, 1, Long.MAX_VALUE),
        reader.flag(RELEASED).orElse(false),
        reader.requiredNumber(REPORTED_THROUGH, Long.MIN_VALUE, Long.MAX_VALUE));
  }

  /** Returns the record with which another process takes the lease over. */
  LeaseRecord takenOverBy(String newHolder, String newProcess) {
    return new LeaseRecord(newHolder, newProcess, token + 1, false, reportedThrough);
  }

  /** Returns the record with the larger token and the larger mark of the two. */
  LeaseRecord newest(LeaseRecord other) {
    LeaseRecord later = other.token > token ? other : this;
    return new LeaseRecord(
        later.holder,
        later.process,
        later.token,
        later.isReleased,
        Math.max(reportedThrough, other.reportedThrough));
  }

  /** Returns the record with which the holder renews the lease. */
  LeaseRecord renewed(long newReportedThrough) {
    return new LeaseRecord(
        holder, process, token, false, Math.max(reportedThrough, newReportedThrough));
  }

  /** Returns the record with which the holder gives the lease back. */
  LeaseRecord released(long newReportedThrough) {
    LeaseRecord renewed = renewed(newReportedThrough);
    return new LeaseRecord(holder, process, token, true, renewed.reportedThrough());
  }

  // -- queries

  boolean isOf(String otherHolder, String otherProcess) {
    return holder.equals(otherHolder) && process.equals(otherProcess);
  }

  // -- conversion

  /** Returns the document form, as read by {@link #read}. */
  public Document.Mapping toDocument() {
    return Document.mapping()
        .with(HOLDER, holder)
        .with(PROCESS, process)
        .with(TOKEN, token)
        .with(RELEASED, isReleased)
        .with(REPORTED_THROUGH, reportedThrough)
        .build();
  }
}
