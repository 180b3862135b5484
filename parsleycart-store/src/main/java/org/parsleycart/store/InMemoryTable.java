package org.parsleycart.store;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** A table in the memory of one process. Safe for use by several threads. */
public final class InMemoryTable implements TransactionalTable {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long lastRevision;

  @Override
  public synchronized Either<PlatformError, Optional<Row>> read(String key) {
    requireNonNull(key, "key is null");
    return Either.right(Optional.ofNullable(rows.get(key)));
  }

  @Override
  public synchronized Either<PlatformError, Boolean> insertIfAbsent(String key, byte[] value) {
    requireNonNull(key, "key is null");
    if (rows.containsKey(key)) {
      return Either.right(false);
    }
    rows.put(key, Row.of(key, ++lastRevision, value));
    return Either.right(true);
  }

  @Override
  public synchronized Either<PlatformError, Boolean> compareAndSet(
      String key, long revision, byte[] value) {
    if (!hasRevision(key, revision)) {
      return Either.right(false);
    }
    rows.put(key, Row.of(key, ++lastRevision, value));
    return Either.right(true);
  }

  @Override
  public synchronized Either<PlatformError, Boolean> delete(String key, long revision) {
    if (!hasRevision(key, revision)) {
      return Either.right(false);
    }
    rows.remove(key);
    return Either.right(true);
  }

  @Override
  public synchronized Either<PlatformError, List<Row>> scan(
      String prefix, String after, int limit) {
    requireNonNull(prefix, "prefix is null");
    String start = after.compareTo(prefix) > 0 ? after : prefix;
    boolean inclusive = start.equals(prefix) && !after.equals(prefix);
    return Either.right(
        rows.tailMap(start, inclusive).values().stream()
            .takeWhile(row -> row.key().startsWith(prefix))
            .limit(limit)
            .toList());
  }

  private boolean hasRevision(String key, long revision) {
    Row row = rows.get(requireNonNull(key, "key is null"));
    return row != null && row.revision() == revision;
  }
}
