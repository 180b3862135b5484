package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A SHA-256 digest.
 *
 * @param hexadecimal the digest as 64 hexadecimal digits
 */
public record Digest(String hexadecimal) {

  // -- construction

  public Digest {
    requireNonNull(hexadecimal, "hexadecimal is null");
  }

  /** Computes the digest of the given bytes. */
  public static Digest of(byte[] bytes) {
    return new Digest(HexFormat.of().formatHex(bytesOf(bytes)));
  }

  /** Computes the 32 bytes of the digest of the given bytes. */
  static byte[] bytesOf(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is missing, although every Java runtime must provide it", e);
    }
  }

  // -- Object

  @Override
  public String toString() {
    return hexadecimal;
  }
}
