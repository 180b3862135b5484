package org.parsleycart.store;

import io.vavr.control.Either;
import java.util.Optional;

/** Objects by name. Objects are written once with content that their name determines. */
public interface ObjectStore {

  /** Writes an object; writing the same object again is harmless. */
  Either<PlatformError, Boolean> put(String name, byte[] content);

  /** Reads an object; empty only when the platform says that it does not exist. */
  Either<PlatformError, Optional<byte[]>> get(String name);

  /** Deletes an object if it exists. */
  Either<PlatformError, Boolean> delete(String name);
}
