package org.parsleycart.model;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The first 128 bits of the SHA-256 digest of a key. Keys themselves are never held.
 *
 * @param high the first 64 bits
 * @param low the second 64 bits
 */
public record KeyDigest(long high, long low) implements Comparable<KeyDigest> {
  /** The size in bytes of the longest key. */
  public static final int MAXIMUM_KEY_BYTES = 1024;

  private static final int HEXADECIMAL_DIGITS = 32;

  /** The digest, or the complete SHA-256 digest, of which the rest is not used. */
  private static final Pattern HEXADECIMAL = Pattern.compile("[0-9a-fA-F]{32}([0-9a-fA-F]{32})?");

  // -- construction

  /** Computes the digest of a key, or returns empty if the key is empty or too long. */
  public static Optional<KeyDigest> ofKey(String key) {
    requireNonNull(key, "key is null");
    if (key.isEmpty() || key.length() > MAXIMUM_KEY_BYTES) {
      return Optional.empty();
    }
    byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
    return bytes.length > MAXIMUM_KEY_BYTES
        ? Optional.empty()
        : Optional.of(ofBytes(Digest.bytesOf(bytes)));
  }

  private static KeyDigest ofBytes(byte[] digest) {
    ByteBuffer buffer = ByteBuffer.wrap(digest);
    return new KeyDigest(buffer.getLong(), buffer.getLong());
  }

  /** Parses the hexadecimal form of a digest, or returns empty if the text has another form. */
  static Optional<KeyDigest> parse(String text) {
    return HEXADECIMAL.matcher(text).matches()
        ? Optional.of(ofBytes(HexFormat.of().parseHex(text, 0, HEXADECIMAL_DIGITS)))
        : Optional.empty();
  }

  // -- conversion

  String toHexadecimal() {
    return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
  }

  // -- Object

  @Override
  public int compareTo(KeyDigest other) {
    int order = Long.compareUnsigned(high, other.high);
    return order == 0 ? Long.compareUnsigned(low, other.low) : order;
  }

  /** Returns a text without the digest, so that it does not appear in logs. */
  @Override
  public String toString() {
    return "KeyDigest";
  }
}
