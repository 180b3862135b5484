package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/** Guards against a response head without end that takes the memory of a client. */
class HttpClientHeadTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int REPETITIONS_PER_WRITE = 4000;

  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1 200 OK\r\n', 'X-Field: a\r\n'",
    "'HTTP/1.1 200 OK\r\nX: ', 'abcdefgh'",
    "'', 'HTTP/1.1 100 Continue\r\n\r\n'"
  })
  void shouldFailBeforeTimeoutWhenHeadHasNoEnd(String start, String repeated) throws IOException {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        HttpClient client = HttpClient.start(1)) {
      Thread thread = new Thread(() -> answerWithoutEnd(server, start, repeated), "endless");
      thread.setDaemon(true);
      thread.start();

      Either<LinkError, HttpResponse> response =
          client.send("127.0.0.1:" + server.getLocalPort(), HttpRequest.of("GET", "/"), TIMEOUT);

      assertThat(response.getLeft().message()).contains("response head");
    }
  }

  private static void answerWithoutEnd(ServerSocket server, String start, String repeated) {
    try (Socket socket = server.accept()) {
      while (socket.getInputStream().read() != '\n') {
        // The request line precedes the answer.
      }
      socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
      byte[] part = repeated.repeat(REPETITIONS_PER_WRITE).getBytes(StandardCharsets.ISO_8859_1);
      while (!server.isClosed()) {
        socket.getOutputStream().write(part);
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }
}
