package org.parsleycart.link.http;

import java.io.IOException;

/**
 * A response arrived that cannot be used. Whether the request ran is unknown, and the connection
 * must not be used again.
 */
public abstract class UnusableResponseException extends IOException {
  private static final long serialVersionUID = 1;

  UnusableResponseException(String message) {
    super(message);
  }
}
