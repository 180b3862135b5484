package org.parsleycart.store;

import static java.util.Objects.requireNonNull;

/**
 * The storage services of the platform.
 *
 * @param table the transactional table
 * @param objects the object store
 */
public record Platform(TransactionalTable table, ObjectStore objects) {

  // -- construction

  public Platform {
    requireNonNull(table, "table is null");
    requireNonNull(objects, "objects is null");
  }

  /** Creates a platform that stores everything in the memory of this process. */
  public static Platform inMemory() {
    return new Platform(new InMemoryTable(), new InMemoryObjectStore());
  }
}
