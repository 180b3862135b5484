package org.parsleycart.link.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds the head of each response on a client connection. The parser of the HTTP client keeps all
 * fields that it reads, however many arrive.
 *
 * <p>A read fails once the head is too large, which ends the exchange and its connection. Bodies
 * pass unchanged. Confined to the input/output thread of the connection.
 */
final class BoundedHeadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
  /** The size of a head in bytes, with all informational responses before it. */
  static final int MAXIMUM_HEAD_BYTES = 32 * 1024;

  /** Lines of one head. Below the number at which the parser of the client gives up. */
  static final int MAXIMUM_LINES = 150;

  /** The place of the first digit of the status in {@code HTTP/1.1 200}. */
  private static final int STATUS_COLUMN = 9;

  private static final char INFORMATIONAL = '1';

  private boolean isHeadExpected;
  private int remainingBytes;
  private boolean isInLines;
  private boolean isInformational;
  private int lines;
  private int column;

  BoundedHeadConduit(StreamSourceConduit next) {
    super(next);
  }

  // -- events

  /** Bounds what is read from now on, until the head of the next response is complete. */
  void expectHead() {
    isHeadExpected = true;
    remainingBytes = MAXIMUM_HEAD_BYTES;
    startHead();
  }

  /** Records that the head is complete. What follows it is not bounded. */
  void completeHead() {
    isHeadExpected = false;
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
      return next.read(target);
    }
    if (remainingBytes == 0) {
      throw new OversizedHeadException("larger than " + MAXIMUM_HEAD_BYTES + " bytes");
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
      return next.read(targets, offset, length);
    }
    for (int index = offset; index < offset + length; index++) {
      if (targets[index].hasRemaining()) {
        return read(targets[index]);
      }
    }
    return 0;
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
      throw new OversizedHeadException("of more than " + MAXIMUM_LINES + " lines");
    }
  }
}
