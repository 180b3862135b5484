package org.parsleycart.link.http;

/** Reads the status line of a response byte by byte (RFC 9112, section 4). */
final class StatusLineReader {
  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_DIGITS = 3;
  private static final int DECIMAL = 10;
  private static final int MINIMUM_STATUS = 100;
  private static final int MAXIMUM_STATUS = 599;

  private State state = State.VERSION;
  private int position;
  private int minorVersion;
  private int status;
  private boolean isOtherInformational;

  private enum State {
    VERSION {
      @Override
      State next(StatusLineReader line, int octet) throws MalformedResponseException {
        if (octet != StatusLineReader.VERSION.charAt(line.position)) {
          throw unexpected(octet);
        }
        line.position++;
        return line.position < StatusLineReader.VERSION.length() ? VERSION : MINOR_VERSION;
      }
    },
    MINOR_VERSION {
      @Override
      State next(StatusLineReader line, int octet) throws MalformedResponseException {
        if (!Octets.isDigit(octet)) {
          throw unexpected(octet);
        }
        line.minorVersion = Octets.digit(octet);
        line.position = 0;
        return BEFORE_STATUS;
      }
    },
    BEFORE_STATUS {
      @Override
      State next(StatusLineReader line, int octet) throws MalformedResponseException {
        if (octet != Octets.SPACE) {
          throw unexpected(octet);
        }
        return STATUS;
      }
    },
    STATUS {
      @Override
      State next(StatusLineReader line, int octet) throws MalformedResponseException {
        if (!Octets.isDigit(octet)) {
          throw unexpected(octet);
        }
        line.status = line.status * DECIMAL + Octets.digit(octet);
        line.position++;
        line.isOtherInformational = line.isOtherInformational();
        return line.position < STATUS_DIGITS ? STATUS : line.checkedStatus();
      }
    },
    BEHIND_STATUS {
      @Override
      State next(StatusLineReader line, int octet) throws MalformedResponseException {
        if (octet != Octets.SPACE) {
          throw unexpected(octet);
        }
        return REASON;
      }
    },
    REASON {
      @Override
      State next(StatusLineReader line, int octet) throws MalformedResponseException {
        if (Octets.isText(octet)) {
          return REASON;
        }
        return switch (octet) {
          case Octets.CARRIAGE_RETURN -> LINE_FEED;
          case Octets.LINE_FEED -> END;
          default -> throw unexpected(octet);
        };
      }
    },
    LINE_FEED {
      @Override
      State next(StatusLineReader line, int octet) throws MalformedResponseException {
        if (octet != Octets.LINE_FEED) {
          throw unexpected(octet);
        }
        return END;
      }
    },
    END {
      @Override
      State next(StatusLineReader line, int octet) {
        throw new IllegalStateException("the status line has ended");
      }
    };

    /** Reads a byte; returns the state of the next one. */
    abstract State next(StatusLineReader line, int octet) throws MalformedResponseException;

    private static MalformedResponseException unexpected(int octet) {
      return new MalformedResponseException(Octets.describe(octet) + " in the status line");
    }
  }

  private State checkedStatus() throws MalformedResponseException {
    if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
      throw new MalformedResponseException("a status that is not from 100 to 599");
    }
    return State.BEHIND_STATUS;
  }

  /** Returns whether the digits so far are those of an informational status but 100 and 101. */
  private boolean isOtherInformational() {
    return switch (position) {
      case 2 -> status / DECIMAL == 1;
      case STATUS_DIGITS ->
          status / (DECIMAL * DECIMAL) == 1 && status != ResponseReader.SWITCHING_PROTOCOLS;
      default -> false;
    };
  }

  /** Reads a byte; returns whether it ends the line. */
  boolean read(int octet) throws MalformedResponseException {
    isOtherInformational = false;
    state = state.next(this, octet);
    return state == State.END;
  }

  /**
   * Returns whether the last byte is a digit that must be read as {@code 0} by readers that know
   * only the informational statuses 100 and 101.
   */
  boolean isDigitOfOtherInformationalStatus() {
    return isOtherInformational;
  }

  /** Returns the status code, once the line has ended. */
  int status() {
    return status;
  }

  /** Returns whether the version of the message defines transfer codings. */
  boolean definesTransferCodings() {
    return minorVersion > 0;
  }
}
