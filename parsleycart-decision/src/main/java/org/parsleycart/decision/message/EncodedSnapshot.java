package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.Base64;
import org.parsleycart.model.Digest;

/**
 * A complete configuration snapshot in MessagePack form, encoded as base 64 text so that any
 * document can carry it.
 */
public record EncodedSnapshot(String base64) {

  // -- construction

  public EncodedSnapshot {
    requireNonNull(base64, "base64 is null");
  }

  /** Encodes the MessagePack form of a snapshot. */
  public static EncodedSnapshot of(byte[] bytes) {
    return new EncodedSnapshot(Base64.getEncoder().encodeToString(bytes));
  }

  // -- conversion

  /** Returns the decoded bytes, empty when the text is not valid base 64. */
  public byte[] toBytes() {
    try {
      return Base64.getDecoder().decode(base64);
    } catch (IllegalArgumentException e) {
      return new byte[0];
    }
  }

  /** Returns the digest of the decoded bytes. */
  public Digest digest() {
    return Digest.of(toBytes());
  }
}
