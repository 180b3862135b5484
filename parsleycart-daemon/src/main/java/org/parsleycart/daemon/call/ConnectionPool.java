package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/**
 * The client connections of one input/output thread, each with at most one call in flight.
 *
 * <p>Idle connections are kept for reuse, most recently used first, up to a limit over all targets.
 * Confined to its thread.
 */
final class ConnectionPool {
  /** How long an idle connection is kept when the other side does not say; below its usual 60 s. */
  static final Duration LONGEST_IDLE = Duration.ofSeconds(20);

  /** A connection is not reused within this time before the other side closes it. */
  private static final Duration MARGIN_BEFORE_CLOSE = Duration.ofSeconds(1);

  private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");
  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  private final XnioIoThread thread;
  private final ByteBufferPool buffers;
  private final InstantSource clock;
  private final int connectionsPerTarget;
  private final int idleConnections;
  private final Map<String, Target> targets = new HashMap<>();
  private int idleCount;

  private static final class Target {
    private final Deque<Idle> idle = new ArrayDeque<>();
    private int open;
  }

  private record Idle(ClientConnection connection, Instant since, Instant until) {}

  // -- construction

  ConnectionPool(
      XnioIoThread thread,
      ByteBufferPool buffers,
      InstantSource clock,
      int connectionsPerTarget,
      int idleConnections) {
    this.thread = requireNonNull(thread, "thread is null");
    this.buffers = requireNonNull(buffers, "buffers is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.connectionsPerTarget = connectionsPerTarget;
    this.idleConnections = idleConnections;
  }

  // -- operations

  /** Gives an idle or a new connection to the address, {@code host:port}. */
  void acquire(String address, ClientCallback<ClientConnection> callback) {
    Target target = targets.computeIfAbsent(address, unused -> new Target());
    ClientConnection warm = takeIdle(target);
    if (warm != null) {
      callback.completed(warm);
      return;
    }
    if (target.open >= connectionsPerTarget) {
      callback.failed(new IOException("all " + connectionsPerTarget + " connections in use"));
      return;
    }
    target.open++;
    connect(address, target, callback);
  }

  private void connect(String address, Target target, ClientCallback<ClientConnection> callback) {
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection connection) {
                // Runs on this thread, which also closes the connections when it ends.
                connection.addCloseListener(closed -> target.open--);
                callback.completed(connection);
              }

              @Override
              public void failed(IOException cause) {
                target.open--;
                callback.failed(cause);
              }
            },
            URI.create("http://" + address + "/"),
            thread,
            buffers,
            OptionMap.builder()
                .set(UndertowOptions.ENABLE_HTTP2, false)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  private ClientConnection takeIdle(Target target) {
    Instant now = clock.instant();
    while (!target.idle.isEmpty()) {
      Idle idle = target.idle.pollFirst();
      idleCount--;
      if (idle.connection().isOpen() && idle.until().isAfter(now)) {
        return idle.connection();
      }
      IoUtils.safeClose(idle.connection());
    }
    return null;
  }

  /** Returns how long a connection is reusable, from the {@code Keep-Alive} response header. */
  static Duration maximumIdleTime(ClientResponse response) {
    String stated = response.getResponseHeaders().getFirst(KEEP_ALIVE);
    Matcher matcher = TIMEOUT.matcher(stated == null ? "" : stated);
    if (!matcher.find()) {
      return LONGEST_IDLE;
    }
    Duration timeout = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
    Duration usable = timeout.minus(MARGIN_BEFORE_CLOSE);
    return usable.compareTo(LONGEST_IDLE) < 0 ? usable : LONGEST_IDLE;
  }

  /**
   * Returns a connection to the pool after a complete exchange.
   *
   * @param address where it leads
   * @param connection the connection
   * @param reusableFor how long it may be idle before it is used again
   */
  void release(String address, ClientConnection connection, Duration reusableFor) {
    Target target = targets.get(address);
    if (!connection.isOpen() || target == null) {
      IoUtils.safeClose(connection);
      return;
    }
    Instant now = clock.instant();
    target.idle.addFirst(new Idle(connection, now, now.plus(reusableFor)));
    idleCount++;
    if (idleCount > idleConnections) {
      dropOldest();
    }
  }

  /**
   * Closes a connection after an incomplete exchange, so that the other side detects it at once.
   * Undertow's own close sends nothing while a response is pending.
   */
  void discard(ClientConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    try {
      IoUtils.safeClose(connection.performUpgrade());
    } catch (IOException e) {
      IoUtils.safeClose(connection);
    }
  }

  private void dropOldest() {
    Target stalest = null;
    for (Target target : targets.values()) {
      boolean older =
          !target.idle.isEmpty()
              && (stalest == null
                  || target.idle.peekLast().since().isBefore(stalest.idle.peekLast().since()));
      stalest = older ? target : stalest;
    }
    if (stalest != null) {
      IoUtils.safeClose(stalest.idle.pollLast().connection());
      idleCount--;
    }
    forgetUnused();
  }

  private void forgetUnused() {
    Iterator<Target> all = targets.values().iterator();
    while (all.hasNext()) {
      Target target = all.next();
      if (target.open == 0 && target.idle.isEmpty()) {
        all.remove();
      }
    }
  }
}
