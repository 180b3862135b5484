package org.parsleycart.link.http;

import static java.util.Objects.requireNonNull;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.parsleycart.link.LinkError;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Sends HTTP requests and waits for complete responses, one at a time on each connection.
 *
 * <p>A connection whose request failed or timed out is closed and never used again, so that a late
 * response cannot be taken for that of another request. Safe for use by several threads.
 */
public final class HttpClient implements AutoCloseable {
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int IDLE_CONNECTIONS_PER_ADDRESS = 64;

  private final XnioWorker worker;
  private final OptionMap connectionOptions;
  private final ByteBufferPool pool = new DefaultByteBufferPool(false, BUFFER_BYTES);
  private final Map<String, Deque<BoundedConnection>> idle = new ConcurrentHashMap<>();

  // -- construction

  private HttpClient(XnioWorker worker, OptionMap connectionOptions) {
    this.worker = worker;
    this.connectionOptions = connectionOptions;
  }

  /**
   * Starts a client.
   *
   * @param threads the number of I/O threads
   */
  public static HttpClient start(int threads) {
    return start(threads, OptionMap.EMPTY);
  }

  /**
   * Starts a client whose connections are reset when they are closed. Bytes of a request that timed
   * out and that the operating system has not sent yet are then never sent, also when a link
   * recovers later.
   *
   * @param threads the number of I/O threads
   */
  public static HttpClient startResettingOnClose(int threads) {
    return start(threads, OptionMap.create(Options.CLOSE_ABORT, true));
  }

  private static HttpClient start(int threads, OptionMap connectionOptions) {
    try {
      XnioWorker worker =
          Xnio.getInstance()
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, threads)
                      .set(Options.WORKER_TASK_CORE_THREADS, 1)
                      .set(Options.WORKER_TASK_MAX_THREADS, 1)
                      .set(Options.THREAD_DAEMON, true)
                      .set(Options.TCP_NODELAY, true)
                      .set(Options.WORKER_NAME, "http-client")
                      .getMap());
      return new HttpClient(worker, connectionOptions);
    } catch (IOException e) {
      throw new IllegalStateException("I/O threads of the HTTP client could not be started", e);
    }
  }

  // -- operations

  /**
   * Sends a request.
   *
   * @param address {@code host:port}
   * @param timeout the longest time for the whole exchange
   * @return the complete response, or the reason why there is none
   */
  public Either<LinkError, HttpResponse> send(
      String address, HttpRequest request, Duration timeout) {
    requireNonNull(address, "address is null");
    requireNonNull(request, "request is null");
    long deadline = System.nanoTime() + timeout.toNanos();
    BoundedConnection connection;
    try {
      connection = connection(address, deadline);
    } catch (IOException e) {
      return Either.left(new LinkError.Unreachable(address, String.valueOf(e.getMessage())));
    }
    try {
      HttpResponse response = exchange(connection, address, request, deadline);
      returnToPool(address, connection);
      return Either.right(response);
    } catch (IOException e) {
      IoUtils.safeClose(connection);
      closeIdle(address);
      return Either.left(new LinkError.NoAnswer(address, String.valueOf(e.getMessage())));
    }
  }

  private BoundedConnection connection(String address, long deadline) throws IOException {
    Deque<BoundedConnection> idleConnections =
        idle.computeIfAbsent(address, unused -> new ConcurrentLinkedDeque<>());
    BoundedConnection pooled = idleConnections.pollFirst();
    while (pooled != null && !pooled.isReusable()) {
      IoUtils.safeClose(pooled);
      pooled = idleConnections.pollFirst();
    }
    if (pooled != null) {
      return pooled;
    }
    CompletableFuture<BoundedConnection> opened = new CompletableFuture<>();
    OptionMap options =
        OptionMap.builder()
            .addAll(connectionOptions)
            .set(UndertowOptions.ENABLE_HTTP2, false)
            .getMap();
    new BoundedConnector(worker.getIoThread(), pool, options).connect(address, callback(opened));
    return await(opened, deadline);
  }

  /**
   * Closes the idle connections to an address after a request without an answer. What silenced its
   * connection may have silenced these, which are as old, while new ones work.
   */
  private void closeIdle(String address) {
    Deque<BoundedConnection> idleConnections = idle.get(address);
    BoundedConnection pooled = idleConnections.pollFirst();
    while (pooled != null) {
      IoUtils.safeClose(pooled);
      pooled = idleConnections.pollFirst();
    }
  }

  private void returnToPool(String address, BoundedConnection connection) {
    Deque<BoundedConnection> idleConnections = idle.get(address);
    if (connection.isReusable() && idleConnections.size() < IDLE_CONNECTIONS_PER_ADDRESS) {
      idleConnections.addFirst(connection);
    } else {
      IoUtils.safeClose(connection);
    }
  }

  private HttpResponse exchange(
      BoundedConnection connection, String address, HttpRequest request, long deadline)
      throws IOException {
    ClientRequest clientRequest =
        new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
    request
        .headers()
        .forEach(
            (name, value) -> clientRequest.getRequestHeaders().put(new HttpString(name), value));
    clientRequest.getRequestHeaders().put(Headers.HOST, address);
    clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.bodyBytes().length);
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    connection
        .thread()
        .execute(
            () ->
                connection.send(
                    clientRequest, new HttpExchange(connection, request.bodyBytes(), response)));
    return await(response, deadline);
  }

  private static ClientCallback<BoundedConnection> callback(
      CompletableFuture<BoundedConnection> future) {
    return new ClientCallback<>() {
      @Override
      public void completed(BoundedConnection connection) {
        if (!future.complete(connection)) {
          IoUtils.safeClose(connection);
        }
      }

      @Override
      public void failed(IOException cause) {
        future.completeExceptionally(cause);
      }
    };
  }

  private static <T> T await(CompletableFuture<T> future, long deadline) throws IOException {
    try {
      long wait = Math.max(1, deadline - System.nanoTime());
      return future.get(wait, TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      future.cancel(false);
      throw new IOException("timed out", e);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  @Override
  public void close() {
    idle.values().stream().flatMap(Deque::stream).forEach(IoUtils::safeClose);
    worker.shutdownNow();
  }
}
