package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.parsleycart.daemon.settings.DaemonLimits;
import org.parsleycart.model.CallerLimits;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The HTTP server of a daemon.
 *
 * <p>Unlike the default Undertow server, it watches each connection while a request is in progress,
 * so that it detects immediately when the caller disconnects.
 */
public final class CallServer {
  static final int MAXIMUM_HEADER_BYTES = 64 * 1024;

  /** Exceeds the idle time after which callers expect connections to be closed. */
  private static final int IDLE_TIMEOUT_MILLISECONDS = 60_000;

  private static final int WORKER_THREADS = 4;
  private static final long STACK_BYTES = 256 * 1024;
  private static final int BACKLOG = 1024;

  /**
   * How often connections are measured: a small part of the time in which a client must progress.
   */
  private static final long SWEEP_MILLISECONDS = 250;

  private final XnioWorker worker;
  private final ByteBufferPool buffers;
  private final OptionMap serverOptions;
  private final List<AcceptingChannel<? extends StreamConnection>> listeners = new ArrayList<>();
  private final List<XnioExecutor.Key> sweeps = new ArrayList<>();
  private final Set<ConnectionGuard> guards = new HashSet<>();
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private volatile LimitedOptions callerOptions;

  /** The server options for connections opened under the given limits. */
  private record LimitedOptions(CallerLimits limits, OptionMap options) {}

  /** Begins to serve a new connection. */
  @FunctionalInterface
  private interface ConnectionOpener {
    void open(StreamConnection connection, ConnectionAccount account, HttpHandler handler);
  }

  // -- construction

  private CallServer(XnioWorker worker, ByteBufferPool buffers, OptionMap serverOptions) {
    this.worker = worker;
    this.buffers = buffers;
    this.serverOptions = serverOptions;
    this.callerOptions = new LimitedOptions(CallerLimits.none(), serverOptions);
  }

  /**
   * Creates a server without listeners.
   *
   * @throws IOException if its worker threads cannot be created
   */
  public static CallServer create(DaemonLimits limits, ByteBufferPool buffers) throws IOException {
    requireNonNull(limits, "limits is null");
    requireNonNull(buffers, "buffers is null");
    XnioWorker worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, "calls")
                    .set(Options.WORKER_IO_THREADS, limits.inputOutputThreads())
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                    .set(Options.STACK_SIZE, STACK_BYTES)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    OptionMap serverOptions =
        OptionMap.builder()
            .set(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
            .set(UndertowOptions.MAX_HEADERS, limits.protection().headerFields())
            .set(
                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                milliseconds(limits.protection().maximumStallTime()))
            .set(UndertowOptions.MAX_ENTITY_SIZE, limits.maximumBodyBytes())
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLISECONDS)
            .set(UndertowOptions.ENABLE_HTTP2, false)
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(UndertowOptions.BUFFER_PIPELINED_DATA, false)
            .getMap();
    return new CallServer(worker, buffers, serverOptions);
  }

  // -- operations

  /**
   * Accepts connections at an address.
   *
   * @param refusal answers the requests for which there is no memory
   * @throws IOException if the address cannot be bound
   */
  public void listen(
      InetSocketAddress address, HttpHandler handler, HttpHandler refusal, ConnectionGuard guard)
      throws IOException {
    openListener(
        address,
        handler,
        refusal,
        guard,
        (connection, account, guarded) -> serve(connection, account, guarded, serverOptions));
  }

  /**
   * Accepts connections of callers at an address.
   *
   * @param refusal answers the requests for which there is no memory
   * @param limits supplies the limits of each new connection when it is accepted
   * @throws IOException if the address cannot be bound
   */
  public void listen(
      InetSocketAddress address,
      HttpHandler handler,
      HttpHandler refusal,
      ConnectionGuard guard,
      Supplier<CallerLimits> limits)
      throws IOException {
    requireNonNull(limits, "limits is null");
    openListener(
        address,
        handler,
        refusal,
        guard,
        (connection, account, guarded) -> {
          OptionMap options = optionsFor(limits.get());
          guard.installPipeline(
              connection,
              maximumHoldTime(options),
              lane -> serve(lane, lane.account(), guarded, options));
          serve(connection, account, guarded, options);
        });
  }

  private void openListener(
      InetSocketAddress address,
      HttpHandler handler,
      HttpHandler refusal,
      ConnectionGuard guard,
      ConnectionOpener opener)
      throws IOException {
    HttpHandler guarded = guard.guard(handler, refusal);
    ChannelListener<StreamConnection> acceptListener =
        connection ->
            guard
                .accept(connection)
                .ifPresent(account -> opener.open(connection, account, guarded));
    AcceptingChannel<? extends StreamConnection> listener =
        worker.createStreamConnectionServer(
            address,
            ChannelListeners.openListenerAdapter(acceptListener),
            OptionMap.builder()
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .set(Options.BACKLOG, BACKLOG)
                .getMap());
    listener.resumeAccepts();
    listeners.add(listener);
    if (guards.add(guard)) {
      sweeps.add(
          worker
              .getIoThread()
              .executeAtInterval(guard::sweep, SWEEP_MILLISECONDS, TimeUnit.MILLISECONDS));
    }
  }

  /** Serves a connection, whose buffers are charged to its account. */
  private void serve(
      StreamConnection connection,
      ConnectionAccount account,
      HttpHandler handler,
      OptionMap options) {
    HttpOpenListener openListener =
        new HttpOpenListener(new AccountedBufferPool(buffers, account), options);
    openListener.setRootHandler(handler);
    openListener.handleEvent(connection);
  }

  /** Returns the server options for the limits. Creates them only when the limits change. */
  private OptionMap optionsFor(CallerLimits limits) {
    LimitedOptions cached = callerOptions;
    if (!cached.limits().equals(limits)) {
      cached = new LimitedOptions(limits, withTimeouts(limits));
      callerOptions = cached;
    }
    return cached.options();
  }

  private OptionMap withTimeouts(CallerLimits limits) {
    OptionMap.Builder builder = OptionMap.builder().addAll(serverOptions);
    limits
        .headerTimeout()
        .ifPresent(
            timeout -> builder.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, milliseconds(timeout)));
    limits
        .idleTimeout()
        .ifPresent(
            timeout -> builder.set(UndertowOptions.NO_REQUEST_TIMEOUT, milliseconds(timeout)));
    return builder.getMap();
  }

  /** Returns a part of the time after which the server closes an idle connection. */
  private static Duration maximumHoldTime(OptionMap options) {
    return Duration.ofMillis(
            options.get(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLISECONDS))
        .dividedBy(2);
  }

  private static int milliseconds(Duration duration) {
    return (int) Math.min(Integer.MAX_VALUE, duration.toMillis());
  }

  /** Closes all listeners and connections. Later calls have no effect. */
  public void stop() {
    if (!isStopped.compareAndSet(false, true)) {
      // Closing a listener after its worker has shut down would block forever.
      return;
    }
    sweeps.forEach(XnioExecutor.Key::remove);
    listeners.forEach(IoUtils::safeClose);
    worker.shutdownNow();
  }
}
