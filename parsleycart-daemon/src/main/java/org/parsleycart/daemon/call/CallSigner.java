package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.parsleycart.link.PeerKeys;

/** Proves that a call between daemons comes from a daemon that holds a shared key. */
public final class CallSigner {
  private final PeerKeys keys;

  // -- construction

  /** Creates signatures with the given keys. */
  public CallSigner(PeerKeys keys) {
    this.keys = requireNonNull(keys, "keys is null");
  }

  // -- operations

  String sign(String requestIdentifier, String upstream, String route) {
    return HexFormat.of().formatHex(keys.sign(signedPart(requestIdentifier, upstream, route)));
  }

  boolean isValid(String requestIdentifier, String upstream, String route, String signature) {
    try {
      byte[] bytes = HexFormat.of().parseHex(signature);
      return keys.isValidSignature(signedPart(requestIdentifier, upstream, route), bytes);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static byte[] signedPart(String requestIdentifier, String upstream, String route) {
    String text = requestIdentifier + "\n" + upstream + "\n" + route;
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
