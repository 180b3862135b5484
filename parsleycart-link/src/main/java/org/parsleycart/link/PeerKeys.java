package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that daemons share: the first one signs, each of them is accepted, so that a key is
 * replaced in two steps without a moment in which daemons refuse each other.
 */
public final class PeerKeys {
  /** Length of a signature in bytes. */
  public static final int SIGNATURE_LENGTH = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final List<SecretKeySpec> keys;
  private final ThreadLocal<Mac> macs = ThreadLocal.withInitial(PeerKeys::newMac);

  // -- construction

  private PeerKeys(List<SecretKeySpec> keys) {
    this.keys = keys;
  }

  /**
   * Returns the keys with the given texts.
   *
   * @param texts one key, or the new key followed by the one that it replaces
   */
  public static PeerKeys of(List<String> texts) {
    requireNonNull(texts, "texts is null");
    if (texts.isEmpty()) {
      throw new IllegalArgumentException("at least one key is needed");
    }
    return new PeerKeys(
        texts.stream()
            .map(text -> new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM))
            .toList());
  }

  private static Mac newMac() {
    try {
      return Mac.getInstance(ALGORITHM);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
    }
  }

  // -- operations

  /** Returns the signature of the bytes. */
  public byte[] sign(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    return sign(bytes, keys.get(0));
  }

  /** Returns whether the signature was made with one of the keys. */
  public boolean isValidSignature(byte[] bytes, byte[] signature) {
    requireNonNull(bytes, "bytes is null");
    requireNonNull(signature, "signature is null");
    return keys.stream().anyMatch(key -> MessageDigest.isEqual(sign(bytes, key), signature));
  }

  private byte[] sign(byte[] bytes, SecretKeySpec key) {
    Mac mac = macs.get();
    try {
      mac.init(key);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("a byte key fits " + ALGORITHM, e);
    }
    return Arrays.copyOf(mac.doFinal(bytes), SIGNATURE_LENGTH);
  }
}
