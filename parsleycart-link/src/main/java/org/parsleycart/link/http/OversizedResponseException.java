package org.parsleycart.link.http;

import java.io.IOException;

/** A response has more bytes than a bound allows. */
public final class OversizedResponseException extends IOException {
  private static final long serialVersionUID = 1;

  OversizedResponseException(String excess) {
    super("response " + excess);
  }
}
