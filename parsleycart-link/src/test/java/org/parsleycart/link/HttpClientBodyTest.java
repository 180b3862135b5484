package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;

/** Guards against a bound on bytes outside a body that ends whole bodies, such as large rows. */
class HttpClientBodyTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int BYTES = 1 << 20;

  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 1048576\r\n", "Transfer-Encoding: chunked\r\n", ""})
  void shouldReadALargeBodyInEachFraming(String framing) throws IOException {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        HttpClient client = HttpClient.start(1)) {
      Thread thread = new Thread(() -> answer(server, framing), "large");
      thread.setDaemon(true);
      thread.start();

      assertThat(
              client
                  .send("127.0.0.1:" + server.getLocalPort(), HttpRequest.of("GET", "/"), TIMEOUT)
                  .map(response -> response.body().length)
                  .get())
          .isEqualTo(BYTES);
    }
  }

  private static void answer(ServerSocket server, String framing) {
    String body = "b".repeat(BYTES);
    boolean isChunked = framing.contains("chunked");
    try (Socket socket = server.accept()) {
      while (socket.getInputStream().read() != '\n') {
        // The request line precedes the answer.
      }
      String answer =
          "HTTP/1.1 200 OK\r\n"
              + framing
              + "\r\n"
              + (isChunked ? "100000\r\n" + body + "\r\n0\r\n\r\n" : body);
      socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      socket.shutdownOutput();
      while (socket.getInputStream().read() >= 0) {
        // The client closes the connection.
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }
}
