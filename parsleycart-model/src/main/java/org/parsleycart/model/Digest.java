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
    requireNonNull(bytes, "bytes is null");
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
      return new Digest(HexFormat.of().formatHex(digest));
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
