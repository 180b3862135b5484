package org.parsleycart.link;

import java.nio.ByteBuffer;

/** The framing of messages on a connection: a length prefix of 4 bytes, then the envelope. */
final class Frames {
  /** The size of the length prefix, in bytes. */
  static final int LENGTH_BYTES = Integer.BYTES;

  /** The largest envelope accepted, in bytes. */
  static final int MAXIMUM_LENGTH = 8 * 1024 * 1024;

  private Frames() {}

  static byte[] encode(byte[] envelope) {
    return ByteBuffer.allocate(LENGTH_BYTES + envelope.length)
        .putInt(envelope.length)
        .put(envelope)
        .array();
  }

  static boolean isValidLength(int length) {
    return length > 0 && length <= MAXIMUM_LENGTH;
  }
}
