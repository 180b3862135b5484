package org.parsleycart.link.http;

import java.io.IOException;

/** The head of a response exceeds its bound. */
public final class OversizedHeadException extends IOException {
  private static final long serialVersionUID = 1;

  OversizedHeadException(String excess) {
    super("response head " + excess);
  }
}
