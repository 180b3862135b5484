package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import java.util.IdentityHashMap;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;

/**
 * Encodes the answers to requests. A large answer is compressed for those who can read it, and is
 * encoded once for all who get the same one. Thread-safe.
 */
final class EncodedAnswers {
  /** Below this size in bytes an answer fits into a few packets and is not compressed. */
  static final int COMPRESSED_FROM = 4 * 1024;

  private static final int MAXIMUM_KEPT = 4;

  private final EnvelopeCodec codec;
  private final IdentityHashMap<ControlMessage, byte[]> kept = new IdentityHashMap<>();

  EncodedAnswers(EnvelopeCodec codec) {
    this.codec = requireNonNull(codec, "codec is null");
  }

  /** Returns the encoded answer to a request. */
  byte[] encode(ControlMessage request, ControlMessage answer) {
    boolean acceptsCompressed =
        request instanceof ConfigurationRequest configurationRequest
            && configurationRequest.acceptsCompressed();
    return acceptsCompressed && answer instanceof ConfigurationAnswer
        ? encodeForMany(answer)
        : codec.encode(answer);
  }

  private synchronized byte[] encodeForMany(ControlMessage answer) {
    byte[] known = kept.get(answer);
    if (known != null) {
      return known;
    }
    byte[] plain = codec.encode(answer);
    if (plain.length < COMPRESSED_FROM) {
      return plain;
    }
    byte[] compressed = codec.compress(plain);
    if (kept.size() >= MAXIMUM_KEPT) {
      kept.clear();
    }
    kept.put(answer, compressed);
    return compressed;
  }
}
