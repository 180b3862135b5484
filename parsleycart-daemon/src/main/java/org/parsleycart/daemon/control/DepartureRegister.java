package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.parsleycart.daemon.call.DepartureStore;
import org.parsleycart.daemon.call.LocalUpstreams;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.decision.membership.DepartedProcess;
import org.parsleycart.decision.membership.DepartedUpstreams;
import org.parsleycart.link.BoundedQueue;
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.PlatformError;
import org.parsleycart.store.Row;
import org.parsleycart.store.TransactionalTable;
import org.tinylog.Logger;

/**
 * Stores the departures of the upstreams beside this daemon on the platform before they are
 * acknowledged, and restores them when the daemon starts. A heartbeat that was sent before a
 * departure and arrives after a restart of the daemon therefore does not bring the upstream back.
 *
 * <p>There is one row for each daemon. Only its daemon writes it.
 */
public final class DepartureRegister implements DepartureStore {
  private static final String KEY_PREFIX = "departed/";

  /**
   * How long heartbeats wait at the start of the daemon for the platform. While the platform is
   * unavailable, upstreams that run must get calls.
   */
  private static final Duration RESTORE_WAIT = Duration.ofSeconds(3);

  private static final Duration RETRY_PAUSE = Duration.ofMillis(300);
  private static final int MAXIMUM_PAUSE_DOUBLINGS = 2;
  private static final long QUEUE_WAIT_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

  /** No more departures wait than the row can hold. */
  private static final int QUEUE_CAPACITY = DepartedUpstreams.MAXIMUM_REMEMBERED;

  private static final long ABSENT = 0;

  private final TransactionalTable table;
  private final String key;
  private final LocalUpstreams upstreams;
  private final LongSupplier platformEra;
  private final InstantSource clock;
  private final BoundedQueue<Request> requests = new BoundedQueue<>(QUEUE_CAPACITY);
  private final WorkerLoop loop;
  private final List<Request> pending = new ArrayList<>();
  private final Instant restoreDeadline;

  /** The revision of the row, {@link #ABSENT} without a row, empty until it is read again. */
  private Optional<Long> revision = Optional.empty();

  private DepartedUpstreams stored = new DepartedUpstreams();

  /** What was read or stored in any era; a restored platform may have lost some of it. */
  private final DepartedUpstreams confirmed = new DepartedUpstreams();

  private long confirmedInEra;
  private int failures;
  private boolean isRestored;
  private boolean hasEndedWait;

  /** A departure to store, and what to run once it is stored. */
  private record Request(DepartedProcess departed, Runnable listener) {}

  // -- construction

  /**
   * Creates a register; {@link #start} starts its thread.
   *
   * @param daemon the identifier of this daemon, the same after a restart
   * @param platformEra supplies how often the platform was restored, as {@link
   *     ConfigurationAuthority#platformEra}
   */
  public DepartureRegister(
      TransactionalTable table,
      String daemon,
      LocalUpstreams upstreams,
      LongSupplier platformEra,
      InstantSource clock,
      WorkerHealth health) {
    this.table = requireNonNull(table, "table is null");
    this.key = KEY_PREFIX + requireNonNull(daemon, "daemon is null");
    this.upstreams = requireNonNull(upstreams, "upstreams is null");
    this.platformEra = requireNonNull(platformEra, "platformEra is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.restoreDeadline = clock.instant().plus(RESTORE_WAIT);
    this.loop = new WorkerLoop("departures", this::step, health);
  }

  public void start() {
    loop.start();
  }

  /** Stops the worker after its current step. Departures not stored yet are not acknowledged. */
  public void stop() {
    loop.stop();
  }

  // -- operations

  @Override
  public void store(DepartedProcess departed, Runnable listener) {
    requireNonNull(departed, "departed is null");
    requireNonNull(listener, "listener is null");
    if (!departed.isIdentified()) {
      listener.run();
      return;
    }
    if (!requests.offer(new Request(departed, listener))) {
      Logger.warn("departure of upstream {} is not stored: too many wait", departed.identifier());
    }
  }

  private void step() {
    takeRequests(isRestored && pending.isEmpty() ? QUEUE_WAIT_NANOSECONDS : 0);
    Either<PlatformError, Boolean> result =
        restore().flatMap(restored -> storeLostAgain()).flatMap(held -> storePending());
    if (result.isLeft()) {
      Logger.info(
          "departures of {} upstreams not stored yet: {}",
          pending.size(),
          result.getLeft().message());
      endRestoreWait();
      LockSupport.parkNanos(RETRY_PAUSE.toNanos() << failures);
      failures = Math.min(failures + 1, MAXIMUM_PAUSE_DOUBLINGS);
    } else {
      failures = 0;
    }
  }

  private void takeRequests(long waitNanoseconds) {
    Optional<Request> request = requests.poll(waitNanoseconds);
    while (request.isPresent()) {
      if (pending.size() == QUEUE_CAPACITY) {
        pending.remove(0);
      }
      pending.add(request.get());
      request = requests.poll();
    }
  }

  // -- reading

  private Either<PlatformError, Boolean> restore() {
    if (isRestored) {
      return Either.right(true);
    }
    long eraBefore = platformEra.getAsLong();
    return readRow()
        .peek(
            read -> {
              isRestored = true;
              confirmedInEra = eraBefore == 0 ? platformEra.getAsLong() : eraBefore;
              stored.all().forEach(confirmed::record);
              upstreams.restore(stored.all());
            });
  }

  private Either<PlatformError, Boolean> readRow() {
    return table
        .read(key)
        .map(
            row -> {
              stored = new DepartedUpstreams();
              row.stream()
                  .flatMap(existing -> DepartureRow.parse(existing).stream())
                  .forEach(stored::record);
              revision = Optional.of(row.map(Row::revision).orElse(ABSENT));
              return true;
            });
  }

  private void endRestoreWait() {
    if (!isRestored && !hasEndedWait && !clock.instant().isBefore(restoreDeadline)) {
      hasEndedWait = true;
      Logger.warn("departures before the start of this daemon are unknown: heartbeats are applied");
      upstreams.restore(List.of());
    }
  }

  // -- writing

  /** Stores the departures again that the platform lost when it was restored from a copy. */
  private Either<PlatformError, Boolean> storeLostAgain() {
    long era = platformEra.getAsLong();
    if (era == confirmedInEra) {
      return Either.right(true);
    }
    return readRow()
        .flatMap(
            read -> {
              List<DepartedProcess> lost =
                  confirmed.all().stream().filter(departed -> !stored.hasLeft(departed)).toList();
              lost.forEach(stored::record);
              return lost.isEmpty() ? Either.<PlatformError, Boolean>right(true) : writeRow();
            })
        .peek(
            written -> {
              if (written) {
                confirmedInEra = era;
              }
            });
  }

  private Either<PlatformError, Boolean> storePending() {
    if (pending.stream().map(Request::departed).allMatch(stored::hasLeft)) {
      pending.stream().map(Request::departed).forEach(confirmed::record);
      pending.stream().map(Request::listener).forEach(Runnable::run);
      pending.clear();
      return Either.right(true);
    }
    return (revision.isPresent() ? Either.<PlatformError, Boolean>right(true) : readRow())
        .flatMap(read -> writePending());
  }

  private Either<PlatformError, Boolean> writePending() {
    pending.stream().map(Request::departed).forEach(stored::record);
    return writeRow();
  }

  /** Writes the row; returns false if it had changed, so that it must be read again. */
  private Either<PlatformError, Boolean> writeRow() {
    byte[] value = DepartureRow.format(stored.all());
    long expected = revision.orElse(ABSENT);
    Either<PlatformError, Boolean> written =
        expected == ABSENT
            ? table.insertIfAbsent(key, value)
            : table.compareAndSet(key, expected, value);
    // A successful write does not return the new revision, and one without an answer may have
    // taken effect.
    revision = Optional.empty();
    if (!written.getOrElse(false)) {
      stored = new DepartedUpstreams();
    }
    return written;
  }
}
