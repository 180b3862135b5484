package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.List;
import org.parsleycart.decision.usage.LeaseRecord;
import org.parsleycart.decision.usage.WindowCounts;
import org.parsleycart.store.PlatformError;
import org.tinylog.Logger;

/** Stores the counts of a daemon that stops, for the holder to add. */
final class UsageHandover {
  private final UsageRows rows;
  private final LocalUsage localUsage;

  // -- construction

  UsageHandover(UsageRows rows, LocalUsage localUsage) {
    this.rows = requireNonNull(rows, "rows is null");
    this.localUsage = requireNonNull(localUsage, "localUsage is null");
  }

  // -- operations

  /** Stores the counts of the windows that are not reported, with one more try if that fails. */
  void store() {
    long done =
        rows.readLease()
            .toJavaOptional()
            .flatMap(UsageRows.LeaseRow::content)
            .map(LeaseRecord::reportedThrough)
            .orElse(Long.MIN_VALUE);
    List<Long> open =
        localUsage.all().windows().stream()
            .map(WindowCounts::window)
            .filter(window -> window > done)
            .toList();
    if (open.isEmpty()) {
      return;
    }
    Either<PlatformError, Boolean> stored = rows.insertDeparted(localUsage.of(open));
    if (stored.isLeft()) {
      stored = rows.insertDeparted(localUsage.of(open));
    }
    stored
        .peek(inserted -> Logger.info("usage counts of {} windows stored", open.size()))
        .peekLeft(error -> Logger.warn("usage counts not stored: {}", error.message()));
  }
}
