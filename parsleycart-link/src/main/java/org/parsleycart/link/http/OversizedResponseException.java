package org.parsleycart.link.http;

/** A response has more bytes than a bound allows. */
public final class OversizedResponseException extends UnusableResponseException {
  private static final long serialVersionUID = 1;

  OversizedResponseException(String excess) {
    super("response " + excess);
  }
}
