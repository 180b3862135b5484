package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.model.document.MessagePackDocuments;

/**
 * Encodes and decodes messages as signed envelopes: protocol version (1 byte), signature (16
 * bytes), MessagePack body.
 *
 * <p>The signature covers the version and the body. An envelope without a valid signature is
 * rejected before its body is parsed.
 */
public final class EnvelopeCodec {
  /** The protocol version of encoded envelopes; others are rejected. */
  public static final byte PROTOCOL_VERSION = 1;

  /** The negative version marks a compressed body. Only those who ask for one get it. */
  private static final byte COMPRESSED_VERSION = -PROTOCOL_VERSION;

  private static final int HEADER_LENGTH = 1 + PeerKeys.SIGNATURE_LENGTH;

  private final PeerKeys keys;

  // -- construction

  /** Creates a codec that signs and verifies envelopes with the given keys. */
  public EnvelopeCodec(PeerKeys keys) {
    this.keys = requireNonNull(keys, "keys is null");
  }

  // -- operations

  /** Encodes a message as a signed envelope. */
  public byte[] encode(ControlMessage message) {
    requireNonNull(message, "message is null");
    return seal(PROTOCOL_VERSION, MessagePackDocuments.format(MessageCodec.toDocument(message)));
  }

  /** Returns the envelope of the same message with a compressed body. */
  byte[] compress(byte[] envelope) {
    byte[] body = Arrays.copyOfRange(envelope, HEADER_LENGTH, envelope.length);
    return seal(COMPRESSED_VERSION, Compression.compress(body));
  }

  private byte[] seal(byte version, byte[] body) {
    byte[] signature = keys.sign(signedPart(version, body));
    return ByteBuffer.allocate(HEADER_LENGTH + body.length)
        .put(version)
        .put(signature)
        .put(body)
        .array();
  }

  /**
   * Decodes a message after verifying its signature.
   *
   * @param bytes any bytes; they need not be a valid envelope
   * @return the message, or the reason why the bytes are rejected
   */
  public Either<LinkError, ControlMessage> decode(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    if (bytes.length <= HEADER_LENGTH) {
      return rejected(
          "envelope of " + bytes.length + " bytes, expected more than " + HEADER_LENGTH);
    }
    boolean isCompressed = bytes[0] == COMPRESSED_VERSION;
    if (bytes[0] != PROTOCOL_VERSION && !isCompressed) {
      return rejected("protocol version " + bytes[0] + ", expected " + PROTOCOL_VERSION);
    }
    byte[] signature = Arrays.copyOfRange(bytes, 1, HEADER_LENGTH);
    byte[] body = Arrays.copyOfRange(bytes, HEADER_LENGTH, bytes.length);
    if (!keys.isValidSignature(signedPart(bytes[0], body), signature)) {
      return rejected("signature does not match any peer key");
    }
    Either<LinkError, byte[]> plain =
        isCompressed ? Compression.expand(body, Frames.MAXIMUM_LENGTH) : Either.right(body);
    return plain.flatMap(
        document ->
            MessagePackDocuments.parse(document)
                .mapLeft(problem -> (LinkError) new LinkError.Rejected(problem.toString()))
                .flatMap(MessageCodec::from));
  }

  private static byte[] signedPart(byte version, byte[] body) {
    return ByteBuffer.allocate(1 + body.length).put(version).put(body).array();
  }

  private static Either<LinkError, ControlMessage> rejected(String cause) {
    return Either.left(new LinkError.Rejected(cause));
  }
}
