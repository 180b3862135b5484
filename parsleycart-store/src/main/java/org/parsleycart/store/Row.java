package org.parsleycart.store;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.Objects;

/** A row of the table at one revision. */
public final class Row {
  private final String key;
  private final long revision;
  private final byte[] value;

  // -- construction

  private Row(String key, long revision, byte[] value) {
    this.key = key;
    this.revision = revision;
    this.value = value;
  }

  /** Creates a row with a copy of the value. */
  public static Row of(String key, long revision, byte[] value) {
    requireNonNull(key, "key is null");
    requireNonNull(value, "value is null");
    return new Row(key, revision, value.clone());
  }

  // -- queries

  public String key() {
    return key;
  }

  /** Returns the revision, which every write of the row increases. */
  public long revision() {
    return revision;
  }

  /** Returns a copy of the value. */
  public byte[] value() {
    return value.clone();
  }

  // -- Object

  @Override
  public boolean equals(Object other) {
    return other instanceof Row row
        && key.equals(row.key)
        && revision == row.revision
        && Arrays.equals(value, row.value);
  }

  @Override
  public int hashCode() {
    return Objects.hash(key, revision, Arrays.hashCode(value));
  }

  @Override
  public String toString() {
    return "Row(" + key + "@" + revision + ", " + value.length + " bytes)";
  }
}
