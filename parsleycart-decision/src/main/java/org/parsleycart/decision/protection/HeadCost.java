package org.parsleycart.decision.protection;

/**
 * Estimates the heap that the head of a request occupies. Bytes may arrive in any division.
 *
 * <p>A field or a parameter occupies far more than its bytes: its name, its value, the list of its
 * values and its place in a map.
 */
public final class HeadCost {
  /** A text while it is read and once it has been. */
  private static final long BYTES_PER_BYTE = 2;

  private static final long BYTES_PER_FIELD = 256;
  private static final long BYTES_PER_PARAMETER = 384;

  private long bytes;
  private long fields;
  private long parameters;
  private boolean isInFirstLine = true;

  // -- construction

  /** Creates the cost of a head of which nothing has arrived. */
  public HeadCost() {}

  /**
   * Returns the cost of a head in bytes.
   *
   * @param bytes the length of the head in bytes
   * @param fields the number of fields
   * @param parameters the number of parameters of the query and of the path
   */
  public static long of(long bytes, long fields, long parameters) {
    return bytes * BYTES_PER_BYTE + fields * BYTES_PER_FIELD + parameters * BYTES_PER_PARAMETER;
  }

  // -- arrival

  /** Adds the next byte of the head, or of the empty lines before it. */
  public void add(byte next) {
    switch (next) {
      case '\n' -> addLineEnd();
      case '?', '&', ';' -> parameters += isInFirstLine ? 1 : 0;
      default -> {
        // Counted by its length only.
      }
    }
    bytes += next == '\r' || next == '\n' ? 0 : 1;
  }

  private void addLineEnd() {
    boolean isEmptyLine = bytes == 0;
    fields += isEmptyLine ? 0 : 1;
    isInFirstLine = isInFirstLine && isEmptyLine;
  }

  // -- queries

  /** Returns the estimated heap in bytes of what has arrived. */
  public long heapBytes() {
    return of(bytes, fields, parameters);
  }
}
