package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.Base64;
import org.parsleycart.model.Digest;

/**
 * A whole snapshot in its MessagePack form, as text that any document can carry.
 *
 * @param base64 the bytes in base 64
 */
public record EncodedSnapshot(String base64) {

  // -- construction

  public EncodedSnapshot {
    requireNonNull(base64, "base64 is null");
  }

  /** Returns the snapshot with the given bytes. */
  public static EncodedSnapshot of(byte[] bytes) {
    return new EncodedSnapshot(Base64.getEncoder().encodeToString(bytes));
  }

  // -- conversion

  /** Returns the bytes; empty when the text is not base 64. */
  public byte[] toBytes() {
    try {
      return Base64.getDecoder().decode(base64);
    } catch (IllegalArgumentException e) {
      return new byte[0];
    }
  }

  /** Returns the digest of the bytes. */
  public Digest digest() {
    return Digest.of(toBytes());
  }
}
