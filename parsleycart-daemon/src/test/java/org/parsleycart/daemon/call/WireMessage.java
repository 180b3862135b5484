package org.parsleycart.daemon.call;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A message read from a plain socket.
 *
 * @param startLine the request line or status line
 * @param headers the headers; the names are in any case
 * @param body the bytes of the body, each as one character
 * @param isComplete whether nothing shows that the message broke off
 */
record WireMessage(String startLine, Map<String, String> headers, String body, boolean isComplete) {

  // -- construction

  /** Reads a request; a body without a length is empty. */
  static WireMessage readRequest(InputStream input) throws IOException {
    WireMessage head = readHead(input);
    return head.headers().containsKey("Content-Length") || head.isChunked()
        ? head.withBody(input)
        : head;
  }

  /** Reads a response, as far as it arrives. A response without a length ends with its stream. */
  static WireMessage readResponse(InputStream input) throws IOException {
    return readHead(input).withBody(input);
  }

  /**
   * Reads a response, as far as it arrives.
   *
   * @param isBodyRequested whether a response to the request may have a body
   */
  static WireMessage readResponse(InputStream input, boolean isBodyRequested) throws IOException {
    WireMessage head = readHead(input);
    boolean hasBody = isBodyRequested && head.status() != 204 && head.status() != 304;
    return hasBody ? head.withBody(input) : head;
  }

  private static WireMessage readHead(InputStream input) throws IOException {
    String startLine = readLine(input);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    return new WireMessage(startLine, headers, "", true);
  }

  private WireMessage withBody(InputStream input) {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    boolean isWhole;
    try {
      isWhole = isChunked() ? readChunks(input, received) : readPlain(input, received);
    } catch (IOException e) {
      isWhole = false;
    }
    return new WireMessage(
        startLine, headers, received.toString(StandardCharsets.ISO_8859_1), isWhole);
  }

  private boolean readPlain(InputStream input, ByteArrayOutputStream received) throws IOException {
    Optional<Integer> length = header("Content-Length").map(Integer::parseInt);
    for (int next = 0; next >= 0 && received.size() < length.orElse(Integer.MAX_VALUE); ) {
      next = input.read();
      if (next >= 0) {
        received.write(next);
      }
    }
    return length.isEmpty() || received.size() == length.get();
  }

  private static boolean readChunks(InputStream input, ByteArrayOutputStream received)
      throws IOException {
    int size = Integer.parseInt(readLine(input), 16);
    while (size > 0) {
      byte[] chunk = input.readNBytes(size);
      received.writeBytes(chunk);
      readLine(input);
      size = Integer.parseInt(readLine(input), 16);
    }
    return readLine(input).isEmpty();
  }

  private static String readLine(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the stream ended in a line");
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }

  // -- queries

  int status() {
    return Integer.parseInt(startLine.split(" ", 3)[1]);
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  private boolean isChunked() {
    return header("Transfer-Encoding").filter("chunked"::equalsIgnoreCase).isPresent();
  }
}
