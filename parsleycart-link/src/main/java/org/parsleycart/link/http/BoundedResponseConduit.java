package org.parsleycart.link.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds the bytes of each response on a client connection that are not part of its body: its head,
 * the lines around chunks and the trailers. The parsers of the HTTP client keep or skip all that
 * they read, however much arrives.
 *
 * <p>A read fails once there are too many, which ends the exchange and its connection. Confined to
 * the input/output thread of the connection.
 */
final class BoundedResponseConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  /** The size of a head in bytes, with all informational responses before it. */
  static final int MAXIMUM_HEAD_BYTES = 32 * 1024;

  /** Bytes between two bytes of a body, and after the last one: several buffers of a transfer. */
  static final int MAXIMUM_BYTES_WITHOUT_BODY = 128 * 1024;

  /** Lines of one head. Below the number at which the parser of the client gives up. */
  static final int MAXIMUM_LINES = 150;

  /** The place of the first digit of the status in {@code HTTP/1.1 200}. */
  private static final int STATUS_COLUMN = 9;

  private static final char INFORMATIONAL = '1';

  private boolean isHeadExpected;
  private boolean isBodyExpected;
  private long bytesWithoutBody;
  private int remainingBytes;
  private boolean isInLines;
  private boolean isInformational;
  private int lines;
  private int column;

  BoundedResponseConduit(StreamSourceConduit next) {
    super(next);
  }

  // -- events

  /** Bounds what is read from now on, until the head of the next response is complete. */
  void expectHead() {
    isHeadExpected = true;
    isBodyExpected = false;
    remainingBytes = MAXIMUM_HEAD_BYTES;
    startHead();
  }

  /** Records that the head is complete, and that a body may follow. */
  void completeHead() {
    isHeadExpected = false;
    isBodyExpected = true;
    bytesWithoutBody = 0;
  }

  /** Records that bytes of the body were read. */
  void recordBody() {
    bytesWithoutBody = 0;
  }

  private void startHead() {
    isInLines = true;
    isInformational = false;
    lines = 0;
    column = 0;
  }

  // -- reading

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (!isHeadExpected) {
      return (int) countWithoutBody(next.read(target));
    }
    if (remainingBytes == 0) {
      throw new OversizedResponseException("head larger than " + MAXIMUM_HEAD_BYTES + " bytes");
    }
    int start = target.position();
    int limit = target.limit();
    target.limit(Math.min(limit, start + remainingBytes));
    int count;
    try {
      count = next.read(target);
    } finally {
      target.limit(limit);
    }
    for (int index = start; index < start + count; index++) {
      count((char) target.get(index));
    }
    remainingBytes -= Math.max(0, count);
    return count;
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
    if (!isHeadExpected) {
      return countWithoutBody(next.read(targets, offset, length));
    }
    for (int index = offset; index < offset + length; index++) {
      if (targets[index].hasRemaining()) {
        return read(targets[index]);
      }
    }
    return 0;
  }

  private long countWithoutBody(long count) throws IOException {
    bytesWithoutBody += isBodyExpected ? Math.max(0, count) : 0;
    if (bytesWithoutBody > MAXIMUM_BYTES_WITHOUT_BODY) {
      throw new OversizedResponseException(
          "with over " + MAXIMUM_BYTES_WITHOUT_BODY + " bytes that are not part of its body");
    }
    return count;
  }

  private void count(char next) throws IOException {
    if (!isInLines) {
      return;
    }
    if (next == '\n') {
      endLine();
    } else if (next != '\r') {
      isInformational |= lines == 0 && column == STATUS_COLUMN && next == INFORMATIONAL;
      column++;
    }
  }

  private void endLine() throws IOException {
    boolean isEndOfHead = column == 0 && lines > 0;
    column = 0;
    lines++;
    if (isEndOfHead && isInformational) {
      startHead();
    } else if (isEndOfHead) {
      isInLines = false;
    } else if (lines > MAXIMUM_LINES) {
      throw new OversizedResponseException("head of more than " + MAXIMUM_LINES + " lines");
    }
  }
}
