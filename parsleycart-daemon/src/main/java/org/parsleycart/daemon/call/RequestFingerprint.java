package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;
import org.parsleycart.decision.quarantine.RequestQuarantine;

/**
 * Recognizes a request that comes again, from the same or another caller and at any daemon: by its
 * method, host without port, path, query and body. A body that is streamed does not count.
 */
final class RequestFingerprint {
  private static final String ALGORITHM = "SHA-256";
  private static final int WORD_BITS = 32;

  private RequestFingerprint() {}

  /** Returns the fingerprint, which all daemons compute alike. */
  static long of(HttpServerExchange exchange, RequestBody body) {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      digest.update(headOf(exchange));
      bufferedBody(body).ifPresent(digest::update);
      return ByteBuffer.wrap(digest.digest()).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(ALGORITHM + " is missing in this runtime", e);
    }
  }

  /** Returns a checksum of the same parts, which takes less time and is not safe from forgery. */
  static long checksumOf(HttpServerExchange exchange, RequestBody body) {
    byte[] head = headOf(exchange);
    return (checksum(new CRC32(), head, body) << WORD_BITS) | checksum(new CRC32C(), head, body);
  }

  private static long checksum(Checksum checksum, byte[] head, RequestBody body) {
    checksum.update(head, 0, head.length);
    bufferedBody(body).ifPresent(checksum::update);
    return checksum.getValue();
  }

  /** Returns whether no upstream may run a request. */
  static boolean isQuarantined(
      RequestQuarantine quarantine, HttpServerExchange exchange, RequestBody body) {
    return quarantine.hasSuspects() && quarantine.isQuarantined(of(exchange, body));
  }

  private static byte[] headOf(HttpServerExchange exchange) {
    String host = exchange.getHostName();
    String head =
        exchange.getRequestMethod()
            + "\n"
            + (host == null ? "" : host)
            + "\n"
            + exchange.getRequestURI()
            + "?"
            + exchange.getQueryString()
            + "\n";
    return head.getBytes(StandardCharsets.UTF_8);
  }

  private static Optional<ByteBuffer> bufferedBody(RequestBody body) {
    return body instanceof RequestBody.Buffered buffered
        ? Optional.of(buffered.bytes().duplicate())
        : Optional.empty();
  }
}
