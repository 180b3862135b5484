package org.parsleycart.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * A table of rows by key with conditional writes. Every operation is atomic and returns its failure
 * as a value.
 *
 * <p>After {@link PlatformError.NoAnswer} a write may have taken effect; the caller must read the
 * row to find out.
 */
public interface TransactionalTable {

  /** Reads a row; empty only if the platform reports that the row does not exist. */
  Either<PlatformError, Optional<Row>> read(String key);

  /**
   * Inserts a row.
   *
   * @return true if inserted, false if a row with the key existed
   */
  Either<PlatformError, Boolean> insertIfAbsent(String key, byte[] value);

  /**
   * Replaces a row if it still has the given revision.
   *
   * @return true if replaced, false if the row does not exist or has another revision
   */
  Either<PlatformError, Boolean> compareAndSet(String key, long revision, byte[] value);

  /**
   * Deletes a row if it still has the given revision.
   *
   * @return true if deleted, false if the row does not exist or has another revision
   */
  Either<PlatformError, Boolean> delete(String key, long revision);

  /**
   * Reads rows in the order of their keys.
   *
   * @param prefix the prefix of the keys
   * @param after returns only keys greater than this; empty for all
   * @param limit the maximum number of rows
   */
  Either<PlatformError, List<Row>> scan(String prefix, String after, int limit);
}
