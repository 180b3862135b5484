package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.client.ClientCallback;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.link.http.BoundedConnection;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

class ConnectionPoolTest {
  private static final int MAXIMUM_CONNECTIONS = 2;
  private static final int WAIT_SECONDS = 10;
  private static XnioWorker worker;

  @BeforeAll
  static void start() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
  }

  @AfterAll
  static void stop() {
    worker.shutdownNow();
  }

  private static CompletableFuture<BoundedConnection> acquire(
      XnioIoThread thread, ConnectionPool pool, String address) {
    CompletableFuture<BoundedConnection> result = new CompletableFuture<>();
    thread.execute(
        () -> {
          try {
            pool.acquire(
                address,
                new ClientCallback<>() {
                  @Override
                  public void completed(BoundedConnection connection) {
                    result.complete(connection);
                  }

                  @Override
                  public void failed(IOException cause) {
                    result.completeExceptionally(cause);
                  }
                });
          } catch (RuntimeException e) {
            result.completeExceptionally(new AssertionError("thrown to the caller", e));
          }
        });
    return result;
  }

  /** Guards against a member of gossip or an upstream with an odd address that uses up a pool. */
  @ParameterizedTest
  @ValueSource(
      strings = {"127.0.0.1:99999", "999.1.1.1:80", "127.0.0.1:0", "a b:80", ":", "nowhere"})
  void shouldFailWhenAddressIsOdd(String address) throws Exception {
    XnioIoThread thread = worker.getIoThread();
    ConnectionPool pool =
        new ConnectionPool(
            thread,
            new DefaultByteBufferPool(false, 1024),
            InstantSource.system(),
            MAXIMUM_CONNECTIONS,
            MAXIMUM_CONNECTIONS);

    for (int attempt = 0; attempt <= MAXIMUM_CONNECTIONS; attempt++) {
      assertThat(acquire(thread, pool, address))
          .failsWithin(WAIT_SECONDS, TimeUnit.SECONDS)
          .withThrowableThat()
          .withCauseInstanceOf(IOException.class)
          .withMessageNotContaining("in use");
    }
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      assertThat(acquire(thread, pool, "127.0.0.1:" + server.getLocalPort()))
          .succeedsWithin(WAIT_SECONDS, TimeUnit.SECONDS);
    }
  }
}
