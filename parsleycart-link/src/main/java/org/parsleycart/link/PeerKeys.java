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
 * The keys that daemons share. The first key signs and all keys are accepted, so that a key can be
 * replaced in two steps without daemons rejecting each other's messages.
 */
public final class PeerKeys {
  /** The length of a signature, in bytes. */
  public static final int SIGNATURE_LENGTH = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final List<SecretKeySpec> keys;
  private final ThreadLocal<Mac> macs = ThreadLocal.withInitial(PeerKeys::newMac);

  // -- construction

  private PeerKeys(List<SecretKeySpec> keys) {
    this.keys = keys;
  }

  /**
   * Creates the keys from their texts.
   *
   * @param texts one key, or the new key followed by the key that it replaces
   * @throws IllegalArgumentException if there is no key
   */
  public static PeerKeys of(List<String> texts) {
    requireNonNull(texts, "texts is null");
    if (texts.isEmpty()) {
      throw new IllegalArgumentException("no peer keys given; at least one is required");
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
      throw new IllegalStateException(
          ALGORITHM + " is missing, although every Java runtime must provide it", e);
    }
  }

  // -- operations

  /** Returns the signature of the bytes with the first key. */
  public byte[] sign(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    return sign(bytes, keys.get(0));
  }

  /** Returns whether the signature matches the bytes under one of the keys. */
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
      throw new IllegalStateException("key was rejected by " + ALGORITHM, e);
    }
    return Arrays.copyOf(mac.doFinal(bytes), SIGNATURE_LENGTH);
  }
}
