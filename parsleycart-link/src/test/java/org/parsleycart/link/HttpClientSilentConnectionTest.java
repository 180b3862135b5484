package org.parsleycart.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;

/** Guards against requests that are sent one after the other on connections that went silent. */
class HttpClientSilentConnectionTest {
  private static final Duration LONG = Duration.ofSeconds(10);
  private static final Duration SHORT = Duration.ofMillis(300);

  /** A server that answers the first request of each connection and no other. */
  private static final class ForgetfulServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final CyclicBarrier bothArrived = new CyclicBarrier(2);
    private volatile boolean waitsForBoth = true;

    ForgetfulServer() throws IOException {
      start(this::accept);
    }

    private static void start(Runnable task) {
      Thread thread = new Thread(task, "forgetful");
      thread.setDaemon(true);
      thread.start();
    }

    private void accept() {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        BufferedReader reader =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
          // The head of the first request.
        }
        if (waitsForBoth) {
          bothArrived.await();
        }
        socket
            .getOutputStream()
            .write(
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
        while (reader.read() >= 0) {
          // Further requests get no answer.
        }
      } catch (Exception e) {
        // The client has closed the connection.
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  @Test
  void shouldOpenANewConnectionAfterARequestWithoutAnAnswer() throws Exception {
    ExecutorService senders = Executors.newFixedThreadPool(2);
    try (ForgetfulServer server = new ForgetfulServer();
        HttpClient client = HttpClient.start(1)) {
      String address = "127.0.0.1:" + server.server.getLocalPort();
      HttpRequest request = HttpRequest.of("GET", "/");
      Future<Boolean> first = senders.submit(() -> client.send(address, request, LONG).isRight());
      Future<Boolean> second = senders.submit(() -> client.send(address, request, LONG).isRight());
      assertThat(first.get() && second.get()).isTrue();
      server.waitsForBoth = false;

      assertThat(client.send(address, request, SHORT).isLeft()).isTrue();

      assertThat(client.send(address, request, LONG).isRight()).isTrue();
    } finally {
      senders.shutdownNow();
    }
  }
}
