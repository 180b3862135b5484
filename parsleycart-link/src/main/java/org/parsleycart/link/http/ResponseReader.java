package org.parsleycart.link.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads the responses on a client connection as RFC 9112 defines them, and rejects what is none.
 * What is not data of a body is read in one pass; data is skipped. The parsers of the HTTP client
 * accept more, and what they make of it differs from what the server meant.
 *
 * <p>The client takes informational responses other than 100 for final ones. In the buffer their
 * status becomes 100, so that the client skips them (RFC 9110, section 15.2).
 */
final class ResponseReader {
  /** The only informational status after which no further response follows. */
  static final int SWITCHING_PROTOCOLS = 101;

  private static final int MINIMUM_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private Phase phase = Phase.COMPLETE;
  private boolean isHeadRequest;
  private StatusLineReader statusLine = new StatusLineReader();
  private ResponseLength length = new ResponseLength();
  private FieldSectionReader fields = FieldSectionReader.ofHead(length);
  private ChunkedBodyReader chunks = new ChunkedBodyReader();
  private long remainingBody;

  private enum Phase {
    STATUS_LINE {
      @Override
      int read(ResponseReader reader, ByteBuffer buffer, int start, int end) throws IOException {
        for (int index = start; index < end; index++) {
          boolean isEnd = reader.statusLine.read(Octets.at(buffer, index));
          if (reader.statusLine.isDigitOfOtherInformationalStatus()) {
            buffer.put(index, (byte) '0');
          }
          if (isEnd) {
            reader.phase = FIELDS;
            return index + 1;
          }
        }
        return end;
      }
    },
    FIELDS {
      @Override
      int read(ResponseReader reader, ByteBuffer buffer, int start, int end) throws IOException {
        int index = reader.fields.read(buffer, start, end);
        if (reader.fields.isComplete()) {
          reader.endHead();
        }
        return index;
      }
    },
    BODY_OF_KNOWN_LENGTH {
      @Override
      int read(ResponseReader reader, ByteBuffer buffer, int start, int end) {
        int count = (int) Math.min(reader.remainingBody, end - start);
        reader.remainingBody -= count;
        reader.phase = reader.remainingBody == 0 ? COMPLETE : BODY_OF_KNOWN_LENGTH;
        return start + count;
      }
    },
    BODY_IN_CHUNKS {
      @Override
      int read(ResponseReader reader, ByteBuffer buffer, int start, int end) throws IOException {
        int index = start;
        while (index < end) {
          int data = (int) Math.min(reader.chunks.remainingData(), end - index);
          if (data > 0) {
            reader.chunks.skip(data);
            index += data;
          } else if (reader.chunks.read(Octets.at(buffer, index++))) {
            reader.fields = FieldSectionReader.ofTrailer();
            reader.phase = TRAILER;
            return index;
          }
        }
        return end;
      }
    },
    TRAILER {
      @Override
      int read(ResponseReader reader, ByteBuffer buffer, int start, int end) throws IOException {
        int index = reader.fields.read(buffer, start, end);
        reader.phase = reader.fields.isComplete() ? COMPLETE : TRAILER;
        return index;
      }
    },
    BODY_UNTIL_CLOSE {
      @Override
      int read(ResponseReader reader, ByteBuffer buffer, int start, int end) {
        return end;
      }
    },
    COMPLETE {
      @Override
      int read(ResponseReader reader, ByteBuffer buffer, int start, int end) {
        return start;
      }
    };

    /**
     * Reads bytes until the phase changes or there are no more.
     *
     * @return the index of the first byte that was not read
     */
    abstract int read(ResponseReader reader, ByteBuffer buffer, int start, int end)
        throws IOException;
  }

  // -- reading

  /**
   * Expects the response to a request.
   *
   * @param isHead whether the method of the request is {@code HEAD}
   */
  void expectResponse(boolean isHead) {
    isHeadRequest = isHead;
    startHead();
  }

  private void startHead() {
    statusLine = new StatusLineReader();
    length = new ResponseLength();
    fields = FieldSectionReader.ofHead(length);
    phase = Phase.STATUS_LINE;
  }

  /**
   * Reads bytes up to the end of the response.
   *
   * @param start the index of the first byte
   * @param end the index behind the last byte
   * @return the index behind the last byte of the response, {@code end} if it is not complete
   * @throws MalformedResponseException if the bytes are no response
   * @throws OversizedResponseException if the head or the trailer has too many lines
   */
  int read(ByteBuffer buffer, int start, int end) throws IOException {
    int index = start;
    while (index < end && phase != Phase.COMPLETE) {
      index = phase.read(this, buffer, index, end);
    }
    return index;
  }

  private void endHead() throws MalformedResponseException {
    if (length.isChunked() && !statusLine.definesTransferCodings()) {
      throw new MalformedResponseException("a transfer coding in a message of HTTP/1.0");
    }
    if (isInformational()) {
      startHead();
      return;
    }
    phase = phaseOfBody();
    remainingBody = length.contentLength().orElse(0);
  }

  private boolean isInformational() {
    return statusLine.status() < MINIMUM_FINAL_STATUS && statusLine.status() != SWITCHING_PROTOCOLS;
  }

  private Phase phaseOfBody() {
    if (!hasBody()) {
      return Phase.COMPLETE;
    }
    if (length.isChunked()) {
      chunks = new ChunkedBodyReader();
      return Phase.BODY_IN_CHUNKS;
    }
    if (length.contentLength().isEmpty()) {
      return Phase.BODY_UNTIL_CLOSE;
    }
    return length.contentLength().getAsLong() == 0 ? Phase.COMPLETE : Phase.BODY_OF_KNOWN_LENGTH;
  }

  private boolean hasBody() {
    int status = statusLine.status();
    return !isHeadRequest
        && status >= MINIMUM_FINAL_STATUS
        && status != NO_CONTENT
        && status != NOT_MODIFIED;
  }
}
