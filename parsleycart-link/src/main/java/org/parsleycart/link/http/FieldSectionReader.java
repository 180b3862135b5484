package org.parsleycart.link.http;

import java.util.Optional;

/**
 * Reads the fields of a head or of a trailer byte by byte, with the empty line behind them (RFC
 * 9112, section 5). Lines that are folded or indented, and white space before a colon, are
 * rejected; a single line feed ends a line.
 */
final class FieldSectionReader {
  private final Optional<ResponseLength> length;
  private final StringBuilder name = new StringBuilder(FramingField.MAXIMUM_NAME_LENGTH);
  private final StringBuilder value = new StringBuilder();
  private State state = State.START_OF_LINE;
  private Optional<FramingField> framingField = Optional.empty();
  private int lines;

  // -- construction

  private FieldSectionReader(Optional<ResponseLength> length) {
    this.length = length;
  }

  /** Creates a reader of the fields of a head, which say how long the body is. */
  static FieldSectionReader ofHead(ResponseLength length) {
    return new FieldSectionReader(Optional.of(length));
  }

  /** Creates a reader of the fields of a trailer, which say nothing about the body. */
  static FieldSectionReader ofTrailer() {
    return new FieldSectionReader(Optional.empty());
  }

  // -- reading

  private enum State {
    START_OF_LINE {
      @Override
      State next(FieldSectionReader section, int octet) throws MalformedResponseException {
        return switch (octet) {
          case Octets.CARRIAGE_RETURN -> LAST_LINE_FEED;
          case Octets.LINE_FEED -> END;
          case ':' -> throw new MalformedResponseException("a field without a name");
          case Octets.SPACE, Octets.HORIZONTAL_TAB ->
              throw new MalformedResponseException("a line that is folded or indented");
          default -> {
            section.startLine();
            yield NAME.next(section, octet);
          }
        };
      }
    },
    NAME {
      @Override
      State next(FieldSectionReader section, int octet) throws MalformedResponseException {
        if (octet == ':') {
          section.endName();
          return VALUE;
        }
        if (octet == Octets.CARRIAGE_RETURN || octet == Octets.LINE_FEED) {
          throw new MalformedResponseException("a line without a colon");
        }
        if (!Octets.isToken(octet)) {
          throw new MalformedResponseException(Octets.describe(octet) + " in the name of a field");
        }
        section.addToName(octet);
        return NAME;
      }
    },
    VALUE {
      @Override
      State next(FieldSectionReader section, int octet) throws MalformedResponseException {
        if (Octets.isText(octet)) {
          section.addToValue(octet);
          return VALUE;
        }
        return switch (octet) {
          case Octets.CARRIAGE_RETURN -> LINE_FEED;
          case Octets.LINE_FEED -> section.endLine();
          default ->
              throw new MalformedResponseException(
                  Octets.describe(octet) + " in the value of a field");
        };
      }
    },
    LINE_FEED {
      @Override
      State next(FieldSectionReader section, int octet) throws MalformedResponseException {
        requireLineFeed(octet);
        return section.endLine();
      }
    },
    LAST_LINE_FEED {
      @Override
      State next(FieldSectionReader section, int octet) throws MalformedResponseException {
        requireLineFeed(octet);
        return END;
      }
    },
    END {
      @Override
      State next(FieldSectionReader section, int octet) {
        throw new IllegalStateException("the fields have ended");
      }
    };

    abstract State next(FieldSectionReader section, int octet) throws MalformedResponseException;

    private static void requireLineFeed(int octet) throws MalformedResponseException {
      if (octet != Octets.LINE_FEED) {
        throw new MalformedResponseException("a carriage return within a line");
      }
    }
  }

  /** Reads a byte; returns whether it ends the fields. */
  boolean read(int octet) throws MalformedResponseException {
    state = state.next(this, octet);
    return state == State.END;
  }

  private void startLine() {
    lines++;
    name.setLength(0);
    value.setLength(0);
  }

  private void addToName(int octet) {
    // One more than the longest name is enough to tell a longer one from it.
    if (length.isPresent() && name.length() <= FramingField.MAXIMUM_NAME_LENGTH) {
      name.append(Character.toLowerCase((char) octet));
    }
  }

  private void endName() {
    framingField = FramingField.ofName(name);
  }

  private void addToValue(int octet) {
    if (framingField.isPresent()) {
      value.append((char) octet);
    }
  }

  private State endLine() throws MalformedResponseException {
    if (framingField.isPresent() && length.isPresent()) {
      framingField.get().apply(value.toString().strip(), length.get());
    }
    return State.START_OF_LINE;
  }

  // -- queries

  /** Returns the number of lines that have begun, without the empty one. */
  int lines() {
    return lines;
  }
}
