package org.parsleycart.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Rows by key with conditional writes. Every operation is atomic; its failure is a value.
 *
 * <p>After {@link PlatformError.NoAnswer} a write may have taken effect; the caller reads the row
 * to find out.
 */
public interface TransactionalTable {

  /** Reads a row; empty only when the platform says that the row does not exist. */
  Either<PlatformError, Optional<Row>> read(String key);

  /**
   * Inserts a row.
   *
   * @return true when inserted, false when a row with the key existed
   */
  Either<PlatformError, Boolean> insertIfAbsent(String key, byte[] value);

  /**
   * Replaces a row if it still has the given revision.
   *
   * @return true when replaced, false when the row is gone or has another revision
   */
  Either<PlatformError, Boolean> compareAndSet(String key, long revision, byte[] value);

  /**
   * Deletes a row if it still has the given revision.
   *
   * @return true when deleted, false when the row is gone or has another revision
   */
  Either<PlatformError, Boolean> delete(String key, long revision);

  /**
   * Reads rows in the order of their keys.
   *
   * @param prefix the start of the keys
   * @param after only keys greater than this; empty for all
   * @param limit the most rows
   */
  Either<PlatformError, List<Row>> scan(String prefix, String after, int limit);
}
