package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.parsleycart.link.PeerKeys;

/** Signs calls between daemons and verifies the signatures, with keys that the daemons share. */
public final class CallSigner {
  private final PeerKeys keys;

  // -- construction

  public CallSigner(PeerKeys keys) {
    this.keys = requireNonNull(keys, "keys is null");
  }

  // -- operations

  String sign(String requestIdentifier, String upstream, String route) {
    return HexFormat.of().formatHex(keys.sign(signedBytes(requestIdentifier, upstream, route)));
  }

  /**
   * Returns whether the signature, in hexadecimal, was made with a shared key for the same call.
   */
  boolean isValid(String requestIdentifier, String upstream, String route, String signature) {
    try {
      byte[] bytes = HexFormat.of().parseHex(signature);
      return keys.isValidSignature(signedBytes(requestIdentifier, upstream, route), bytes);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static byte[] signedBytes(String requestIdentifier, String upstream, String route) {
    String text = requestIdentifier + "\n" + upstream + "\n" + route;
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
