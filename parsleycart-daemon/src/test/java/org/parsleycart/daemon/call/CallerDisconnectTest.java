package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.http.HttpRequest;

/**
 * Checks that a disconnect of the caller closes the connection to the upstream, over one hop and
 * over two.
 */
class CallerDisconnectTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts: [{name: read, kind: interactive-read, deadline: 25s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: read, pathPrefix: /read, service: ledger, contract: read}]
      """;

  /** Limits the time of a failing test. Shorter than the deadline, which must not end the calls. */
  private static final int MAXIMUM_WAIT_SECONDS = 15;

  private TestMesh mesh;
  private UnresponsiveUpstream upstream;

  /** How a caller disconnects. */
  enum Disconnect {
    CLOSE {
      @Override
      void apply(Socket socket) throws IOException {
        socket.close();
      }
    },
    RESET {
      @Override
      void apply(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    },
    /** The caller sends a second request before it closes the connection. */
    PIPELINE_AND_CLOSE {
      @Override
      void apply(Socket socket) throws IOException {
        socket.getOutputStream().write(REQUEST);
        socket.getOutputStream().flush();
        socket.close();
      }
    };

    abstract void apply(Socket socket) throws IOException;
  }

  private static final byte[] REQUEST =
      "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /** Accepts one request, never responds, and reports the end of its connection. */
  private static final class UnresponsiveUpstream implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final CompletableFuture<Void> requestReceived = new CompletableFuture<>();
    private final CompletableFuture<Void> connectionEnded = new CompletableFuture<>();

    UnresponsiveUpstream() throws IOException {
      Thread thread = new Thread(this::serve, "unresponsive-upstream");
      thread.setDaemon(true);
      thread.start();
    }

    private void serve() {
      try (Socket socket = server.accept()) {
        InputStream input = socket.getInputStream();
        byte[] buffer = new byte[4096];
        int count = input.read(buffer);
        requestReceived.complete(null);
        while (count >= 0) {
          count = input.read(buffer);
        }
        connectionEnded.complete(null);
      } catch (IOException e) {
        connectionEnded.complete(null);
      }
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  @BeforeEach
  void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    upstream = new UnresponsiveUpstream();
    mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
    mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 1);
    mesh.awaitUpstreams(mesh.member(1), "ledger v1 abdali", 1);
  }

  @AfterEach
  void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  @ParameterizedTest
  @CsvSource({
    "0, CLOSE",
    "1, CLOSE",
    "0, RESET",
    "1, RESET",
    "0, PIPELINE_AND_CLOSE",
    "1, PIPELINE_AND_CLOSE"
  })
  void shouldCloseUpstreamConnectionWhenCallerDisconnects(int member, Disconnect disconnect)
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    String[] address = mesh.member(member).callers().split(":", 2);
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      OutputStream output = socket.getOutputStream();
      output.write(REQUEST);
      output.flush();
      upstream.requestReceived.get(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS);

      disconnect.apply(socket);

      upstream.connectionEnded.get(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS);
      assertThat(upstream.connectionEnded).isCompleted();
    }
    // A retry would have been counted before the connection to the upstream was closed.
    String metrics =
        mesh.send(mesh.member(member).operators(), HttpRequest.of("GET", "/metrics")).text();
    assertThat(metrics).contains("parsleycart_retries_total 0.0");
  }
}
