package org.parsleycart.daemon.call;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller on a plain socket, whose connection is kept from call to call. */
final class WireCaller implements AutoCloseable {
  private static final int TIMEOUT_MILLISECONDS = 20_000;

  private final Socket socket;
  private final InputStream input;
  private int calls;

  /** A call, by its method and by whether it may run more than once. */
  enum Call {
    READ("GET /read/x", "\r\n"),
    WRITE("POST /write/x", "Content-Length: 4\r\n\r\nbook"),
    HEAD("HEAD /read/x", "\r\n");

    private final String start;
    private final String rest;

    Call(String start, String rest) {
      this.start = start;
      this.rest = rest;
    }

    boolean hasResponseBody() {
      return this != HEAD;
    }
  }

  private WireCaller(Socket socket) throws IOException {
    this.socket = socket;
    this.input = new BufferedInputStream(socket.getInputStream());
  }

  /** Opens a connection to {@code host:port}. */
  static WireCaller connect(String address) throws IOException {
    String[] parts = address.split(":", 2);
    Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]));
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLISECONDS);
    return new WireCaller(socket);
  }

  /** Sends a call and reads its response as far as it arrives. */
  WireMessage send(Call call) throws IOException {
    write(call, "");
    return WireMessage.readResponse(input, call.hasResponseBody());
  }

  /** Sends the last call of the connection; returns all bytes that arrive, each as a character. */
  String sendLast(Call call) throws IOException {
    write(call, "Connection: close\r\n");
    return new String(input.readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private void write(Call call, String field) throws IOException {
    calls++;
    SocketUpstream.write(
        socket,
        call.start
            + " HTTP/1.1\r\nHost: mesh.example\r\nParsleycart-Attempt-Id: q"
            + calls
            + "\r\nParsleycart-Deadline-Ms: 5000\r\n"
            + field
            + call.rest);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
