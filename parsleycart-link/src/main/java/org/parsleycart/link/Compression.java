package org.parsleycart.link;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses the bodies of messages by the deflate format. */
final class Compression {
  private static final int BUFFER_BYTES = 8 * 1024;

  private Compression() {}

  /** Returns the compressed bytes. */
  static byte[] compress(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return compressed.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * Expands compressed bytes.
   *
   * @param compressed any bytes; they need not be in the format
   * @param maximumLength the largest number of bytes to expand to
   * @return the bytes, or the reason why they are rejected
   */
  static Either<LinkError, byte[]> expand(byte[] compressed, int maximumLength) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      ByteArrayOutputStream expanded = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      int count = inflater.inflate(buffer);
      while (count > 0 && expanded.size() <= maximumLength) {
        expanded.write(buffer, 0, count);
        count = inflater.inflate(buffer);
      }
      boolean isWhole = inflater.finished() && expanded.size() <= maximumLength;
      return isWhole
          ? Either.right(expanded.toByteArray())
          : Either.left(
              new LinkError.Rejected(
                  "compressed body incomplete or larger than " + maximumLength + " bytes"));
    } catch (DataFormatException e) {
      return Either.left(new LinkError.Rejected("body in no compressed format"));
    } finally {
      inflater.end();
    }
  }
}
