package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A blocking HTTP/1.1 codec for the stand-ins. */
final class Http {
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 1000;

  private Http() {}

  /** A message: its first line, its headers with names in any case, and its body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name));
    }
  }

  /** One connection of a client, which can send several requests. */
  static final class Connection implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream input;
    final OutputStream output;

    Connection(String address) throws IOException {
      int colon = address.lastIndexOf(':');
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          CONNECT_TIMEOUT_MILLISECONDS);
      input = new BufferedInputStream(socket.getInputStream());
      output = socket.getOutputStream();
    }

    /** Sends bytes as they are. */
    void send(byte[] bytes) throws IOException {
      output.write(bytes);
      output.flush();
    }

    /** Reads one response; fails if none arrives within the timeout. */
    Message receive(int timeoutMilliseconds) throws IOException {
      socket.setSoTimeout(timeoutMilliseconds);
      return readResponse(input);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static void closeQuietly(Connection connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns the bytes of a request with a length. */
  static byte[] request(String method, String path, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || !method.equals("GET")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(bytes(head + "\r\n"));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }

  static Message readRequest(InputStream input) throws IOException {
    Message head = readHead(input);
    return new Message(head.firstLine(), head.headers(), readBody(head, input, false));
  }

  static Message readResponse(InputStream input) throws IOException {
    Message head = readHead(input);
    return new Message(head.firstLine(), head.headers(), readBody(head, input, true));
  }

  static Message readHead(InputStream input) throws IOException {
    String firstLine = readLine(input);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
    return new Message(firstLine, headers, new byte[0]);
  }

  static byte[] readBody(Message head, InputStream input, boolean endsWithConnection)
      throws IOException {
    if (head.header("Transfer-Encoding").isPresent()) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int size = Integer.parseInt(readLine(input).trim(), 16);
      while (size > 0) {
        body.writeBytes(readFully(input, size));
        readLine(input);
        size = Integer.parseInt(readLine(input).trim(), 16);
      }
      readLine(input);
      return body.toByteArray();
    }
    if (head.header("Content-Length").isPresent()) {
      return readFully(input, Integer.parseInt(head.headers().get("Content-Length")));
    }
    return endsWithConnection ? input.readAllBytes() : new byte[0];
  }

  static byte[] readFully(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection ended in a body");
    }
    return bytes;
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("the connection ended in a head");
      }
      line.write(next);
      next = input.read();
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }
}
