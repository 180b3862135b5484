package org.parsleycart.link.http;

/**
 * Reads what surrounds the data of a body in chunks byte by byte, up to the trailer (RFC 9112,
 * section 7.1): the lines with the sizes and the ends of the chunks. Extensions are ignored.
 */
final class ChunkedBodyReader {
  private static final int HEXADECIMAL_DIGIT_BITS = 4;

  private State state = State.START_OF_SIZE;
  private long size;

  private enum State {
    START_OF_SIZE {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        body.size = 0;
        body.addDigit(octet);
        return SIZE;
      }
    },
    SIZE {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        if (octet == ';' || octet == Octets.CARRIAGE_RETURN || Octets.isBlank(octet)) {
          return BEHIND_SIZE.next(body, octet);
        }
        body.addDigit(octet);
        return SIZE;
      }
    },
    BEHIND_SIZE {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        return switch (octet) {
          case ';' -> EXTENSION;
          case Octets.CARRIAGE_RETURN -> SIZE_LINE_FEED;
          case Octets.SPACE, Octets.HORIZONTAL_TAB -> BLANK_BEHIND_SIZE;
          default -> throw unexpected(octet, "behind the size of a chunk");
        };
      }
    },
    BLANK_BEHIND_SIZE {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        if (Octets.isBlank(octet)) {
          return BLANK_BEHIND_SIZE;
        }
        // White space is defined before an extension, not before the end of the line.
        return require(';', octet, "behind the size of a chunk", EXTENSION);
      }
    },
    EXTENSION {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        if (Octets.isText(octet)) {
          return EXTENSION;
        }
        return require(
            Octets.CARRIAGE_RETURN, octet, "in the extension of a chunk", SIZE_LINE_FEED);
      }
    },
    SIZE_LINE_FEED {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        State following = body.size == 0 ? END : DATA;
        return require(Octets.LINE_FEED, octet, "in the size of a chunk", following);
      }
    },
    DATA {
      @Override
      State next(ChunkedBodyReader body, int octet) {
        throw new IllegalStateException("the data of a chunk is skipped");
      }
    },
    END_OF_DATA {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        return require(Octets.CARRIAGE_RETURN, octet, "behind the data of a chunk", DATA_LINE_FEED);
      }
    },
    DATA_LINE_FEED {
      @Override
      State next(ChunkedBodyReader body, int octet) throws MalformedResponseException {
        return require(Octets.LINE_FEED, octet, "behind the data of a chunk", START_OF_SIZE);
      }
    },
    END {
      @Override
      State next(ChunkedBodyReader body, int octet) {
        throw new IllegalStateException("the last chunk has been read");
      }
    };

    /** Reads a byte; returns the state of the next one. */
    abstract State next(ChunkedBodyReader body, int octet) throws MalformedResponseException;

    private static State require(int required, int octet, String place, State following)
        throws MalformedResponseException {
      if (octet != required) {
        throw unexpected(octet, place);
      }
      return following;
    }

    private static MalformedResponseException unexpected(int octet, String place) {
      return new MalformedResponseException(Octets.describe(octet) + " " + place);
    }
  }

  private void addDigit(int octet) throws MalformedResponseException {
    int digit = Octets.hexadecimalDigit(octet);
    if (digit < 0) {
      throw State.unexpected(octet, "in the size of a chunk");
    }
    if (size > Long.MAX_VALUE >> HEXADECIMAL_DIGIT_BITS) {
      throw new MalformedResponseException("a chunk that is too large");
    }
    size = (size << HEXADECIMAL_DIGIT_BITS) + digit;
  }

  /** Reads a byte that is not data; returns whether it ends the line of the last chunk. */
  boolean read(int octet) throws MalformedResponseException {
    state = state.next(this, octet);
    return state == State.END;
  }

  /** Returns the bytes of data that follow before the next byte to be read. */
  long remainingData() {
    return state == State.DATA ? size : 0;
  }

  /** Skips data. */
  void skip(long count) {
    size -= count;
    state = size == 0 ? State.END_OF_DATA : State.DATA;
  }
}
