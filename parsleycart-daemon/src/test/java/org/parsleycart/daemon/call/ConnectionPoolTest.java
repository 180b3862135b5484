package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.client.ClientCallback;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
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
    thread.execute(() -> acquireNow(pool, address, result));
    return result;
  }

  /** Acquires a connection on the thread of the pool. */
  private static void acquireNow(
      ConnectionPool pool, String address, CompletableFuture<BoundedConnection> result) {
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
  }

  /** Guards against a member of gossip or an upstream with an odd address that uses up a pool. */
  @ParameterizedTest
  @ValueSource(
      strings = {"127.0.0.1:99999", "999.1.1.1:80", "127.0.0.1:0", "a b:80", ":", "nowhere"})
  void shouldFailWhenAddressIsOdd(String address) throws Exception {
    XnioIoThread thread = worker.getIoThread();
    ConnectionPool pool = newPool(thread);

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

  private static ConnectionPool newPool(XnioIoThread thread) {
    return new ConnectionPool(
        thread,
        new DefaultByteBufferPool(false, 1024),
        InstantSource.system(),
        MAXIMUM_CONNECTIONS,
        MAXIMUM_CONNECTIONS);
  }

  /** Guards against stray bytes on an idle connection that are read as the next answer. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "x"})
  void shouldNotReuseAConnectionWithUnreadBytes(String strayBytes) throws Exception {
    XnioIoThread thread = worker.getIoThread();
    ConnectionPool pool = newPool(thread);
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + server.getLocalPort();
      BoundedConnection first = acquire(thread, pool, address).get(WAIT_SECONDS, TimeUnit.SECONDS);
      CompletableFuture<BoundedConnection> next = new CompletableFuture<>();
      try (Socket accepted = server.accept()) {
        // The thread sees the bytes only after the task in which the connection is acquired again.
        thread.execute(
            () -> {
              pool.release(address, first, Duration.ofSeconds(10));
              writeUnchecked(accepted, strayBytes);
              acquireNow(pool, address, next);
            });

        assertThat(next.get(WAIT_SECONDS, TimeUnit.SECONDS)).isNotSameAs(first);
      }
    }
  }

  private static void writeUnchecked(Socket socket, String text) {
    try {
      SocketUpstream.write(socket, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void shouldReuseAConnectionOnWhichNothingArrived() throws Exception {
    XnioIoThread thread = worker.getIoThread();
    ConnectionPool pool = newPool(thread);
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + server.getLocalPort();
      BoundedConnection first = acquire(thread, pool, address).get(WAIT_SECONDS, TimeUnit.SECONDS);

      thread.execute(() -> pool.release(address, first, Duration.ofSeconds(10)));

      assertThat(acquire(thread, pool, address).get(WAIT_SECONDS, TimeUnit.SECONDS))
          .isSameAs(first);
    }
  }
}
