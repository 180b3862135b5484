import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A connection of a client. Reads whole answers, framed by a length or by chunks. */
final class Client implements AutoCloseable {
  private final Socket socket;
  private final InputStream input;

  /** An answer; the names of the headers are in lower case. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  // -- construction

  Client(String address, int timeoutMilliseconds) throws IOException {
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(Mesh.address(address), 1000);
    socket.setSoTimeout(timeoutMilliseconds);
    input = new java.io.BufferedInputStream(socket.getInputStream());
  }

  // -- exchange

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads one answer; fails if it breaks off or takes too long. */
  Answer read() throws IOException {
    String statusLine = Messages.line(input);
    Map<String, String> headers = Messages.headers(input);
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    return new Answer(status, headers, Messages.body(input, headers, true));
  }

  /** Returns the head of a request with the host of the mesh. */
  static String head(String method, String path, String identifier, long deadlineMilliseconds) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: mesh.example\r\nParsleycart-Attempt-Id: "
        + identifier
        + "\r\nParsleycart-Deadline-Ms: "
        + deadlineMilliseconds
        + "\r\n";
  }

  static Answer get(String address, String path) throws IOException {
    try (Client client = new Client(address, 2000)) {
      client.send("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n");
      return client.read();
    }
  }

  static Answer post(String address, String path, String body) throws IOException {
    try (Client client = new Client(address, 2000)) {
      client.send(
          "POST "
              + path
              + " HTTP/1.1\r\nHost: "
              + address
              + "\r\nContent-Type: application/json\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      return client.read();
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** The parts of messages that clients and servers read. */
  static final class Messages {
    private Messages() {}

    static String line(InputStream input) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int next = input.read();
      while (next != '\n') {
        if (next < 0) {
          throw new EOFException("connection ended");
        }
        if (next != '\r') {
          line.write(next);
        }
        next = input.read();
      }
      return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> headers(InputStream input) throws IOException {
      Map<String, String> headers = new LinkedHashMap<>();
      String line = line(input);
      while (!line.isEmpty()) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        line = line(input);
      }
      return headers;
    }

    static byte[] body(InputStream input, Map<String, String> headers, boolean isAnswer)
        throws IOException {
      if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size = chunkSize(input);
        while (size > 0) {
          body.write(exactly(input, size));
          line(input);
          size = chunkSize(input);
        }
        headers(input);
        return body.toByteArray();
      }
      if (headers.containsKey("content-length")) {
        return exactly(input, Integer.parseInt(headers.get("content-length")));
      }
      return isAnswer ? input.readAllBytes() : new byte[0];
    }

    private static int chunkSize(InputStream input) throws IOException {
      return Integer.parseInt(line(input).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
      byte[] bytes = input.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("body broke off after " + bytes.length + " bytes");
      }
      return bytes;
    }
  }
}
