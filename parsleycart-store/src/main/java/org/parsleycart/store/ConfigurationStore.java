package org.parsleycart.store;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.EncodedSnapshot;
import org.parsleycart.decision.message.VersionedChange;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.link.ChangeCodec;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.ResourceReference;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.MessagePackDocuments;
import org.parsleycart.model.document.Problem;

/**
 * Stores the accepted configuration on the platform: one row for each version, inserted if absent,
 * and a snapshot object every 64 versions.
 *
 * <p>Version n + 1 is accepted if and only if its row exists. Any number of daemons may accept
 * changes concurrently; the conditional insert decides which one succeeds. If the answer to an
 * insert is lost, the row is read to determine the outcome.
 */
public final class ConfigurationStore implements ConfigurationAuthority {
  /** The number of versions between two snapshots. */
  static final long SNAPSHOT_INTERVAL = 64;

  /** The maximum number of rows read from the platform in one scan. */
  static final int ROWS_PER_SCAN = 64;

  private static final int MAXIMUM_ATTEMPTS = 8;
  private static final String ROW_PREFIX = "configuration/";
  private static final String SNAPSHOT_POINTER = "configuration-snapshot";
  private static final String SNAPSHOT_PREFIX = "configuration-snapshot/";

  private final Platform platform;
  private final ConfigurationLog log;
  private final InstantSource clock;

  // -- construction

  /**
   * Creates the store.
   *
   * @param platform stores the rows and snapshots
   * @param log receives every version read or accepted
   * @param clock gives the time of acceptance
   */
  public ConfigurationStore(Platform platform, ConfigurationLog log, InstantSource clock) {
    this.platform = requireNonNull(platform, "platform is null");
    this.log = requireNonNull(log, "log is null");
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- acceptance

  /**
   * Accepts a change unless a version after {@code basedOn} affects the same resources.
   *
   * @param change the change; one with an identifier accepted before is not accepted again
   * @param basedOn the version on which the author based the change, or empty for the newest
   * @return the version that the change produced, or the reason why it was not accepted
   */
  @Override
  public Either<AcceptanceError, Long> accept(ConfigurationChange change, Optional<Long> basedOn) {
    requireNonNull(change, "change is null");
    Optional<Long> base = basedOn;
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      Either<PlatformError, Integer> caughtUp =
          catchUp().flatMap(added -> writeLostRowsAgain().map(written -> added));
      if (caughtUp.isLeft()) {
        return Either.left(new AcceptanceError.Unavailable(caughtUp.getLeft()));
      }
      Configuration current = log.current();
      Optional<Long> acceptedVersion = current.versionOf(change.identifier());
      if (acceptedVersion.isPresent()) {
        return Either.right(acceptedVersion.get());
      }
      Optional<AcceptanceError> conflict =
          base.flatMap(version -> conflictSince(version, change, current));
      if (conflict.isPresent()) {
        return Either.left(conflict.get());
      }
      base = Optional.of(base.orElse(current.version()));
      Either<AcceptanceError, Optional<Long>> result = insert(change, current);
      if (result.isLeft()) {
        return Either.left(result.getLeft());
      }
      if (result.get().isPresent()) {
        return Either.right(result.get().get());
      }
    }
    return Either.left(
        new AcceptanceError.Conflict(
            log.current().version(),
            MAXIMUM_ATTEMPTS + " attempts failed because of concurrent changes"));
  }

  /**
   * Inserts the rows of the newest changes in force again if the platform has lost them, because it
   * was restored from a copy. Otherwise the next row would follow a gap, past which no other daemon
   * could read. Returns the number of rows that were missing.
   */
  private Either<PlatformError, Integer> writeLostRowsAgain() {
    Deque<VersionedChange> lost = new ArrayDeque<>();
    List<VersionedChange> changes = log.recentChanges();
    for (int index = changes.size() - 1; index >= 0; index--) {
      Either<PlatformError, Optional<Row>> row =
          platform.table().read(rowKey(changes.get(index).version()));
      if (row.isLeft()) {
        return Either.left(row.getLeft());
      }
      if (row.get().isPresent()) {
        break;
      }
      lost.addFirst(changes.get(index));
    }
    for (VersionedChange change : lost) {
      Either<PlatformError, Boolean> inserted =
          platform.table().insertIfAbsent(rowKey(change.version()), ChangeCodec.toBytes(change));
      if (inserted.isLeft()) {
        return Either.left(inserted.getLeft());
      }
    }
    return Either.right(lost.size());
  }

  private Either<AcceptanceError, Optional<Long>> insert(
      ConfigurationChange change, Configuration current) {
    return current
        .apply(change)
        .mapLeft(violations -> (AcceptanceError) new AcceptanceError.Invalid(violations))
        .flatMap(next -> insertNext(change, next));
  }

  private Either<AcceptanceError, Optional<Long>> insertNext(
      ConfigurationChange change, Configuration next) {
    long version = next.version();
    VersionedChange accepted = new VersionedChange(version, clock.millis(), change, next.digest());
    Either<PlatformError, Boolean> inserted =
        platform.table().insertIfAbsent(rowKey(version), ChangeCodec.toBytes(accepted));
    if (inserted.isLeft()) {
      return resolveLostAnswer(change, version, inserted.getLeft());
    }
    if (!inserted.get()) {
      return Either.right(Optional.empty());
    }
    log.append(accepted);
    writeSnapshotIfDue(next);
    return Either.right(Optional.of(version));
  }

  private Either<AcceptanceError, Optional<Long>> resolveLostAnswer(
      ConfigurationChange change, long version, PlatformError error) {
    if (error instanceof PlatformError.Unreachable) {
      return Either.left(new AcceptanceError.Unavailable(error));
    }
    Either<PlatformError, Optional<Row>> row = platform.table().read(rowKey(version));
    if (row.isLeft()) {
      return Either.left(new AcceptanceError.Unknown(change.identifier(), row.getLeft()));
    }
    Optional<VersionedChange> stored =
        row.get().flatMap(found -> ChangeCodec.from(found.value()).toJavaOptional());
    if (stored.isPresent() && stored.get().change().identifier().equals(change.identifier())) {
      log.append(stored.get());
      return Either.right(Optional.of(version));
    }
    return Either.right(Optional.empty());
  }

  private Optional<AcceptanceError> conflictSince(
      long base, ConfigurationChange change, Configuration current) {
    if (base >= current.version()) {
      return Optional.empty();
    }
    List<VersionedChange> laterChanges =
        log.recentChanges().stream().filter(each -> each.version() > base).toList();
    boolean hasAllLaterChanges =
        !laterChanges.isEmpty() && laterChanges.get(0).version() == base + 1;
    if (!hasAllLaterChanges) {
      return Optional.of(
          new AcceptanceError.Conflict(
              current.version(), "base version " + base + " is too old to check for conflicts"));
    }
    Set<ResourceReference> affected = change.affectedResources();
    return laterChanges.stream()
        .filter(each -> each.change().affectedResources().stream().anyMatch(affected::contains))
        .findFirst()
        .map(each -> conflict(each, affected));
  }

  private static AcceptanceError conflict(VersionedChange other, Set<ResourceReference> affected) {
    Set<ResourceReference> common = new HashSet<>(other.change().affectedResources());
    common.retainAll(affected);
    return new AcceptanceError.Conflict(
        other.version(), other.change().author() + " changed " + common);
  }

  // -- reading

  @Override
  public Either<PlatformError, Integer> catchUp(Duration wait) {
    return catchUp();
  }

  @Override
  public boolean isLongPolling() {
    return false;
  }

  /**
   * Reads all versions that are missing from the log; returns the number of versions added to it.
   */
  public Either<PlatformError, Integer> catchUp() {
    int applied = 0;
    while (true) {
      long before = log.current().version();
      Either<PlatformError, List<Row>> rows =
          platform.table().scan(ROW_PREFIX, rowKey(before), ROWS_PER_SCAN);
      if (rows.isLeft()) {
        return Either.left(rows.getLeft());
      }
      if (rows.get().isEmpty()) {
        return Either.right(applied);
      }
      Either<PlatformError, Integer> added = apply(rows.get());
      if (added.isLeft()) {
        return added;
      }
      applied += added.get();
      if (log.current().version() == before) {
        return Either.left(
            new PlatformError.Unexpected(
                "rows after version " + before + " did not advance the log"));
      }
    }
  }

  private Either<PlatformError, Integer> apply(List<Row> rows) {
    int applied = 0;
    for (Row row : rows) {
      Either<List<Problem>, VersionedChange> parsed = ChangeCodec.from(row.value());
      if (parsed.isLeft()) {
        return Either.left(
            new PlatformError.Unexpected(
                "row " + row.key() + " cannot be parsed: " + parsed.getLeft()));
      }
      boolean appended = log.append(parsed.get()).isRight();
      if (!appended) {
        return readSnapshot();
      }
      applied++;
    }
    return Either.right(applied);
  }

  // -- snapshots

  private Either<PlatformError, Integer> readSnapshot() {
    return platform
        .table()
        .read(SNAPSHOT_POINTER)
        .flatMap(
            row ->
                row.map(found -> readSnapshot(found.value()))
                    .orElseGet(
                        () ->
                            Either.left(
                                new PlatformError.Unexpected(
                                    "row " + SNAPSHOT_POINTER + " does not exist"))));
  }

  private Either<PlatformError, Integer> readSnapshot(byte[] pointer) {
    Optional<ConfigurationHead> head =
        MessagePackDocuments.parse(pointer).toJavaOptional().map(this::readHead);
    if (head.isEmpty()) {
      return Either.left(
          new PlatformError.Unexpected("row " + SNAPSHOT_POINTER + " cannot be parsed"));
    }
    return platform
        .objects()
        .get(SNAPSHOT_PREFIX + head.get().version())
        .flatMap(
            bytes ->
                bytes
                    .map(found -> receiveSnapshot(head.get(), found))
                    .orElseGet(
                        () ->
                            Either.left(
                                new PlatformError.Unexpected(
                                    "object "
                                        + SNAPSHOT_PREFIX
                                        + head.get().version()
                                        + " does not exist"))));
  }

  private ConfigurationHead readHead(Document document) {
    MappingReader reader = MappingReader.of(document, new ArrayList<>());
    return new ConfigurationHead(
        reader.requiredNumber("version", 0, Long.MAX_VALUE), reader.requiredText("digest"));
  }

  private Either<PlatformError, Integer> receiveSnapshot(ConfigurationHead head, byte[] bytes) {
    return log.receiveSnapshot(head, EncodedSnapshot.of(bytes))
        .mapLeft(error -> new PlatformError.Unexpected(error.message()));
  }

  private void writeSnapshotIfDue(Configuration configuration) {
    if (configuration.version() % SNAPSHOT_INTERVAL != 0) {
      return;
    }
    String name = SNAPSHOT_PREFIX + configuration.version();
    platform
        .objects()
        .put(name, configuration.toBytes())
        .flatMap(written -> advancePointer(configuration))
        .peek(advanced -> deleteOldRows(configuration.version()));
  }

  private Either<PlatformError, Boolean> advancePointer(Configuration configuration) {
    byte[] pointer =
        MessagePackDocuments.format(
            Document.mapping()
                .with("version", configuration.version())
                .with("digest", configuration.digest().hexadecimal())
                .build());
    return platform
        .table()
        .read(SNAPSHOT_POINTER)
        .flatMap(
            row -> {
              if (row.isEmpty()) {
                return platform.table().insertIfAbsent(SNAPSHOT_POINTER, pointer);
              }
              long storedVersion =
                  MessagePackDocuments.parse(row.get().value())
                      .map(document -> readHead(document).version())
                      .getOrElse(0L);
              return storedVersion >= configuration.version()
                  ? Either.right(false)
                  : platform.table().compareAndSet(SNAPSHOT_POINTER, row.get().revision(), pointer);
            });
  }

  private void deleteOldRows(long snapshotVersion) {
    long firstRetained = snapshotVersion - SNAPSHOT_INTERVAL + 1;
    platform
        .table()
        .scan(ROW_PREFIX, "", (int) SNAPSHOT_INTERVAL)
        .peek(
            rows ->
                rows.stream()
                    .filter(row -> row.key().compareTo(rowKey(firstRetained)) < 0)
                    .forEach(row -> platform.table().delete(row.key(), row.revision())));
  }

  static String rowKey(long version) {
    return ROW_PREFIX + String.format("%012d", version);
  }
}
