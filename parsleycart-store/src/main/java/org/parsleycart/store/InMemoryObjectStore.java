package org.parsleycart.store;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** An object store in the memory of one process. Safe for use by several threads. */
public final class InMemoryObjectStore implements ObjectStore {
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

  @Override
  public Either<PlatformError, Boolean> put(String name, byte[] content) {
    objects.put(requireNonNull(name, "name is null"), content.clone());
    return Either.right(true);
  }

  @Override
  public Either<PlatformError, Optional<byte[]>> get(String name) {
    requireNonNull(name, "name is null");
    return Either.right(Optional.ofNullable(objects.get(name)).map(byte[]::clone));
  }

  @Override
  public Either<PlatformError, Boolean> delete(String name) {
    return Either.right(objects.remove(requireNonNull(name, "name is null")) != null);
  }
}
