package org.parsleycart.store;

import io.vavr.control.Either;
import java.util.Optional;

/**
 * A store of objects by name. The name of an object determines its content, which never changes.
 */
public interface ObjectStore {

  /** Writes an object; writing the same object again has no effect. */
  Either<PlatformError, Boolean> put(String name, byte[] content);

  /** Reads an object; empty only if the platform reports that it does not exist. */
  Either<PlatformError, Optional<byte[]>> get(String name);

  /** Deletes an object if it exists. */
  Either<PlatformError, Boolean> delete(String name);
}
