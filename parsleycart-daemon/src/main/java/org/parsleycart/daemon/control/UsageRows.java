package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.parsleycart.decision.usage.DaemonUsage;
import org.parsleycart.decision.usage.DutyOperation.WriteLease;
import org.parsleycart.decision.usage.LeaseRecord;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.PlatformError;
import org.parsleycart.store.Row;
import org.parsleycart.store.TransactionalTable;
import org.tinylog.Logger;

/**
 * The rows of the usage duty in the table: the lease, a report for each window that is not yet
 * done, and the counts of daemons that have stopped.
 */
public final class UsageRows {
  private static final String LEASE_KEY = "usage/lease";
  private static final String REPORT_PREFIX = "usage/report/";
  private static final String DEPARTED_PREFIX = "usage/departed/";
  private static final int MAXIMUM_ROWS = 200;

  private final TransactionalTable table;
  private final LongSupplier platformEra;
  private long leaseReadInEra;

  /**
   * The lease row; revision 0 if there is none.
   *
   * @param isPlatformRestored whether the platform was restored since the row was read before
   */
  record LeaseRow(Optional<LeaseRecord> content, long revision, boolean isPlatformRestored) {}

  /** A row with the counts of a daemon that has stopped. */
  record DepartedUsage(Row row, DaemonUsage usage) {}

  // -- construction

  /**
   * Creates the rows in a table.
   *
   * @param platformEra supplies how often the platform was restored, as {@link
   *     ConfigurationAuthority#platformEra}
   */
  public UsageRows(TransactionalTable table, LongSupplier platformEra) {
    this.table = requireNonNull(table, "table is null");
    this.platformEra = requireNonNull(platformEra, "platformEra is null");
  }

  // -- lease

  /** Reads the lease; a row that cannot be read is an error, and nobody takes the lease. */
  Either<PlatformError, LeaseRow> readLease() {
    return table.read(LEASE_KEY).flatMap(this::parseLease);
  }

  private Either<PlatformError, LeaseRow> parseLease(Optional<Row> row) {
    long era = platformEra.getAsLong();
    boolean isPlatformRestored = leaseReadInEra > 0 && era > leaseReadInEra;
    if (row.isEmpty()) {
      leaseReadInEra = era;
      return Either.right(new LeaseRow(Optional.empty(), 0, isPlatformRestored));
    }
    return parse(row.get(), LeaseRecord::read)
        .map(
            content -> {
              leaseReadInEra = era;
              return new LeaseRow(Optional.of(content), row.get().revision(), isPlatformRestored);
            });
  }

  Either<PlatformError, Boolean> writeLease(WriteLease write) {
    byte[] value = bytes(JsonDocuments.format(write.content().toDocument()));
    return write.revision() == 0
        ? table.insertIfAbsent(LEASE_KEY, value)
        : table.compareAndSet(LEASE_KEY, write.revision(), value);
  }

  // -- reports

  Either<PlatformError, Optional<String>> readReport(long window) {
    return table
        .read(reportKey(window))
        .map(row -> row.map(found -> new String(found.value(), StandardCharsets.UTF_8)));
  }

  Either<PlatformError, Boolean> insertReport(long window, String content) {
    return table.insertIfAbsent(reportKey(window), bytes(content));
  }

  /** Deletes the reports of windows up to the given one; what fails is deleted the next time. */
  void deleteReportsThrough(long window) {
    table
        .scan(REPORT_PREFIX, "", MAXIMUM_ROWS)
        .peek(
            rows ->
                rows.stream()
                    .filter(row -> row.key().compareTo(reportKey(window)) <= 0)
                    .forEach(row -> table.delete(row.key(), row.revision())));
  }

  /** The numbers have as many digits as those of any window, so that keys sort by window. */
  private static String reportKey(long window) {
    return REPORT_PREFIX + "%019d".formatted(window);
  }

  // -- departed daemons

  Either<PlatformError, List<DepartedUsage>> readDeparted() {
    return table
        .scan(DEPARTED_PREFIX, "", MAXIMUM_ROWS)
        .map(
            rows ->
                rows.stream()
                    .flatMap(
                        row ->
                            parse(row, DaemonUsage::read)
                                .toJavaStream()
                                .map(usage -> new DepartedUsage(row, usage)))
                    .toList());
  }

  Either<PlatformError, Boolean> insertDeparted(DaemonUsage usage) {
    Document.MappingBuilder content = Document.mapping();
    usage.write(content);
    return table.insertIfAbsent(
        DEPARTED_PREFIX + usage.daemon() + "/" + usage.incarnation(),
        bytes(JsonDocuments.format(content.build())));
  }

  void delete(DepartedUsage departed) {
    table.delete(departed.row().key(), departed.row().revision());
  }

  // -- form

  private static <T> Either<PlatformError, T> parse(Row row, Function<MappingReader, T> reading) {
    return MappingReader.read(JsonDocuments.parse(row.key(), row.value()), reading)
        .mapLeft(
            problems -> {
              Logger.warn(
                  "row {} at revision {} cannot be read: {}", row.key(), row.revision(), problems);
              return new PlatformError.Unexpected(problems.toString());
            });
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
