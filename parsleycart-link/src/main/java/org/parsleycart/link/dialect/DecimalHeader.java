package org.parsleycart.link.dialect;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** Reads headers that hold a decimal number. */
public final class DecimalHeader {
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

  private DecimalHeader() {}

  /** Returns the number in a header, empty if it is missing, or what is wrong with it. */
  public static Either<String, OptionalDouble> read(HeaderMap headers, HttpString name) {
    requireNonNull(headers, "headers is null");
    requireNonNull(name, "name is null");
    String text = headers.getFirst(name);
    if (text == null) {
      return Either.right(OptionalDouble.empty());
    }
    return DECIMAL.matcher(text).matches()
        ? Either.right(OptionalDouble.of(Double.parseDouble(text)))
        : Either.left("header %s is \"%s\", not a decimal number".formatted(name, text));
  }
}
