package org.parsleycart.link.http;

import static java.util.Objects.requireNonNull;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
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
 * Sends HTTP requests and waits for whole answers, with one call in flight on each connection.
 *
 * <p>A connection whose call failed or timed out is closed and never used again, so that a late
 * answer cannot reach another call. Safe for use by several threads.
 */
public final class HttpClient implements AutoCloseable {
  private static final int BUFFER_BYTES = 8 * 1024;
  private static final int IDLE_CONNECTIONS_PER_ADDRESS = 64;

  private final XnioWorker worker;
  private final ByteBufferPool pool = new DefaultByteBufferPool(false, BUFFER_BYTES);
  private final Map<String, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

  // -- construction

  private HttpClient(XnioWorker worker) {
    this.worker = worker;
  }

  /**
   * Starts a client.
   *
   * @param threads the number of input/output threads
   */
  public static HttpClient start(int threads) {
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
      return new HttpClient(worker);
    } catch (IOException e) {
      throw new IllegalStateException("input/output threads could not be started", e);
    }
  }

  // -- operations

  /**
   * Sends a call.
   *
   * @param address {@code host:port}
   * @param call the call
   * @param timeout bounds the whole exchange
   * @return the whole answer, or why there is none
   */
  public Either<LinkError, HttpResponse> send(String address, HttpRequest call, Duration timeout) {
    requireNonNull(address, "address is null");
    requireNonNull(call, "call is null");
    long deadline = System.nanoTime() + timeout.toNanos();
    ClientConnection connection;
    try {
      connection = connection(address, deadline);
    } catch (IOException e) {
      return Either.left(new LinkError.Unreachable(address, String.valueOf(e.getMessage())));
    }
    try {
      HttpResponse answer = exchange(connection, address, call, deadline);
      keep(address, connection);
      return Either.right(answer);
    } catch (IOException e) {
      IoUtils.safeClose(connection);
      return Either.left(new LinkError.NoAnswer(address, String.valueOf(e.getMessage())));
    }
  }

  private ClientConnection connection(String address, long deadline) throws IOException {
    Deque<ClientConnection> waiting =
        idle.computeIfAbsent(address, unused -> new ConcurrentLinkedDeque<>());
    ClientConnection kept = waiting.pollFirst();
    while (kept != null && !kept.isOpen()) {
      kept = waiting.pollFirst();
    }
    if (kept != null) {
      return kept;
    }
    CompletableFuture<ClientConnection> opened = new CompletableFuture<>();
    UndertowClient.getInstance()
        .connect(
            callback(opened),
            URI.create("http://" + address + "/"),
            worker,
            pool,
            OptionMap.create(UndertowOptions.ENABLE_HTTP2, false));
    return await(opened, deadline);
  }

  private void keep(String address, ClientConnection connection) {
    Deque<ClientConnection> waiting = idle.get(address);
    if (connection.isOpen() && waiting.size() < IDLE_CONNECTIONS_PER_ADDRESS) {
      waiting.addFirst(connection);
    } else {
      IoUtils.safeClose(connection);
    }
  }

  private HttpResponse exchange(
      ClientConnection connection, String address, HttpRequest call, long deadline)
      throws IOException {
    ClientRequest request =
        new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
    call.headers()
        .forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
    request.getRequestHeaders().put(Headers.HOST, address);
    request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.bodyBytes().length);
    CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    connection
        .getIoThread()
        .execute(() -> connection.sendRequest(request, new HttpExchange(call.bodyBytes(), answer)));
    return await(answer, deadline);
  }

  private static ClientCallback<ClientConnection> callback(
      CompletableFuture<ClientConnection> future) {
    return new ClientCallback<>() {
      @Override
      public void completed(ClientConnection connection) {
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
    idle.values().forEach(connections -> connections.forEach(IoUtils::safeClose));
    worker.shutdownNow();
  }
}
