package org.parsleycart.link.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Reads the fields of a head or of a trailer, with the empty line behind them (RFC 9112, section
 * 5). Lines that are folded or indented, and white space before a colon, are rejected; a single
 * line feed ends a line.
 */
final class FieldSectionReader {
  /** Lines of one section. Below the number at which the parser of the HTTP client gives up. */
  static final int MAXIMUM_LINES = 150;

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

  /** Where the next byte stands. Each constant reads a run of bytes. */
  private enum State {
    START_OF_LINE {
      @Override
      int read(FieldSectionReader section, ByteBuffer buffer, int start, int end)
          throws MalformedResponseException {
        int octet = Octets.at(buffer, start);
        section.state =
            switch (octet) {
              case Octets.CARRIAGE_RETURN -> LAST_LINE_FEED;
              case Octets.LINE_FEED -> END;
              case ':' -> throw new MalformedResponseException("a field without a name");
              case Octets.SPACE, Octets.HORIZONTAL_TAB ->
                  throw new MalformedResponseException("a line that is folded or indented");
              default -> section.startLine();
            };
        return section.state == NAME ? start : start + 1;
      }
    },
    NAME {
      @Override
      int read(FieldSectionReader section, ByteBuffer buffer, int start, int end)
          throws MalformedResponseException {
        int index = start;
        while (index < end && Octets.isToken(Octets.at(buffer, index))) {
          section.addToName(buffer.get(index));
          index++;
        }
        if (index == end) {
          return end;
        }
        section.state = section.endName(Octets.at(buffer, index));
        return index + 1;
      }
    },
    VALUE {
      @Override
      int read(FieldSectionReader section, ByteBuffer buffer, int start, int end)
          throws MalformedResponseException {
        int index = start;
        while (index < end && Octets.isText(Octets.at(buffer, index))) {
          index++;
        }
        section.addToValue(buffer, start, index);
        if (index == end) {
          return end;
        }
        section.state = section.endValue(Octets.at(buffer, index));
        return index + 1;
      }
    },
    LINE_FEED {
      @Override
      int read(FieldSectionReader section, ByteBuffer buffer, int start, int end)
          throws MalformedResponseException {
        requireLineFeed(buffer, start);
        section.state = section.endLine();
        return start + 1;
      }
    },
    LAST_LINE_FEED {
      @Override
      int read(FieldSectionReader section, ByteBuffer buffer, int start, int end)
          throws MalformedResponseException {
        requireLineFeed(buffer, start);
        section.state = END;
        return start + 1;
      }
    },
    END {
      @Override
      int read(FieldSectionReader section, ByteBuffer buffer, int start, int end) {
        throw new IllegalStateException("the fields have ended");
      }
    };

    /**
     * Reads at least one byte, or changes the state.
     *
     * @return the index of the first byte that was not read
     */
    abstract int read(FieldSectionReader section, ByteBuffer buffer, int start, int end)
        throws MalformedResponseException;

    private static void requireLineFeed(ByteBuffer buffer, int index)
        throws MalformedResponseException {
      if (Octets.at(buffer, index) != Octets.LINE_FEED) {
        throw new MalformedResponseException("a carriage return within a line");
      }
    }
  }

  /**
   * Reads bytes up to the end of the fields.
   *
   * @return the index of the first byte that was not read
   * @throws MalformedResponseException if the bytes are no fields
   * @throws OversizedResponseException if there are too many lines
   */
  int read(ByteBuffer buffer, int start, int end) throws UnusableResponseException {
    int index = start;
    while (index < end && !isComplete()) {
      index = state.read(this, buffer, index, end);
      if (lines >= MAXIMUM_LINES) {
        throw new OversizedResponseException("head of more than " + MAXIMUM_LINES + " lines");
      }
    }
    return index;
  }

  private State startLine() {
    lines++;
    name.setLength(0);
    value.setLength(0);
    return State.NAME;
  }

  private void addToName(byte octet) {
    // One more than the longest name is enough to tell a longer one from it.
    if (name.length() <= FramingField.MAXIMUM_NAME_LENGTH) {
      name.append((char) octet);
    }
  }

  private State endName(int octet) throws MalformedResponseException {
    if (octet == Octets.CARRIAGE_RETURN || octet == Octets.LINE_FEED) {
      throw new MalformedResponseException("a line without a colon");
    }
    if (octet != ':') {
      throw new MalformedResponseException(Octets.describe(octet) + " in the name of a field");
    }
    framingField = length.flatMap(unused -> FramingField.ofName(name));
    return State.VALUE;
  }

  private void addToValue(ByteBuffer buffer, int start, int end) {
    if (framingField.isPresent()) {
      for (int index = start; index < end; index++) {
        value.append((char) Octets.at(buffer, index));
      }
    }
  }

  private State endValue(int octet) throws MalformedResponseException {
    return switch (octet) {
      case Octets.CARRIAGE_RETURN -> State.LINE_FEED;
      case Octets.LINE_FEED -> endLine();
      default ->
          throw new MalformedResponseException(Octets.describe(octet) + " in the value of a field");
    };
  }

  private State endLine() throws MalformedResponseException {
    if (framingField.isPresent() && length.isPresent()) {
      framingField.get().apply(value.toString().strip(), length.get());
    }
    return State.START_OF_LINE;
  }

  // -- queries

  /** Returns whether the empty line behind the fields has been read. */
  boolean isComplete() {
    return state == State.END;
  }
}
