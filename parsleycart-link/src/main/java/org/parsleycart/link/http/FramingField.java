package org.parsleycart.link.http;

import java.util.Optional;
import java.util.stream.Stream;

/** A field that says where the body of a response ends (RFC 9112, section 6). */
enum FramingField {
  CONTENT_LENGTH("content-length") {
    @Override
    void apply(String value, ResponseLength length) throws MalformedResponseException {
      length.addContentLength(value);
    }
  },

  TRANSFER_ENCODING("transfer-encoding") {
    @Override
    void apply(String value, ResponseLength length) throws MalformedResponseException {
      length.addTransferCoding(value);
    }
  };

  /** The length of the longest name in characters. */
  static final int MAXIMUM_NAME_LENGTH =
      Stream.of(values()).mapToInt(field -> field.lowerCaseName.length()).max().orElse(0);

  private final String lowerCaseName;

  FramingField(String lowerCaseName) {
    this.lowerCaseName = lowerCaseName;
  }

  /** Returns the field with a name in any case, empty if the field says nothing about the body. */
  static Optional<FramingField> ofName(CharSequence name) {
    return CONTENT_LENGTH.hasName(name)
        ? Optional.of(CONTENT_LENGTH)
        : Optional.of(TRANSFER_ENCODING).filter(field -> field.hasName(name));
  }

  private boolean hasName(CharSequence name) {
    return name.length() == lowerCaseName.length()
        && name.toString().equalsIgnoreCase(lowerCaseName);
  }

  /** Records a value of the field, without the white space around it. */
  abstract void apply(String value, ResponseLength length) throws MalformedResponseException;
}
