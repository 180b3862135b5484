package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.http.BoundedConnection;
import org.parsleycart.link.http.BoundedConnector;
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
  /**
   * The longest time that a connection may stay idle and still be reused, also if the server states
   * no timeout. Below the usual server timeout of 60 s.
   */
  static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(20);

  /** Time before the server closes an idle connection in which it is no longer reused. */
  private static final Duration MARGIN_BEFORE_CLOSE = Duration.ofSeconds(1);

  private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  private final BoundedConnector connector;
  private final InstantSource clock;
  private final int maximumConnectionsPerTarget;
  private final int maximumIdleConnections;
  private final Map<String, Target> targets = new HashMap<>();
  private int idleCount;

  private static final class Target {
    private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
    private int openCount;
  }

  private record IdleConnection(
      BoundedConnection connection, Instant idleSince, Instant usableUntil) {}

  // -- construction

  ConnectionPool(
      XnioIoThread thread,
      ByteBufferPool buffers,
      InstantSource clock,
      int maximumConnectionsPerTarget,
      int maximumIdleConnections) {
    this.connector =
        new BoundedConnector(
            thread,
            buffers,
            OptionMap.builder()
                .set(UndertowOptions.ENABLE_HTTP2, false)
                .set(Options.TCP_NODELAY, true)
                .getMap());
    this.clock = requireNonNull(clock, "clock is null");
    this.maximumConnectionsPerTarget = maximumConnectionsPerTarget;
    this.maximumIdleConnections = maximumIdleConnections;
  }

  // -- operations

  /**
   * Provides an idle or a new connection to an address. Fails when all connections to the address
   * are in use.
   *
   * @param address the address as {@code host:port}
   */
  void acquire(String address, ClientCallback<BoundedConnection> callback) {
    boolean isKnown = targets.containsKey(address);
    if (!isKnown && Addresses.parseTarget(address).isEmpty()) {
      callback.failed(new IOException("\"" + address + "\" is not an IP address and port"));
      return;
    }
    Target target = targets.computeIfAbsent(address, unused -> new Target());
    BoundedConnection idle = takeIdle(target);
    if (idle != null) {
      callback.completed(idle);
      return;
    }
    if (target.openCount >= maximumConnectionsPerTarget) {
      callback.failed(
          new IOException(
              "all " + maximumConnectionsPerTarget + " connections to " + address + " are in use"));
      return;
    }
    target.openCount++;
    connect(address, target, callback);
  }

  /**
   * Opens a connection and closes it again.
   *
   * @param address the address as {@code host:port}
   * @param result receives false if nothing accepts connections at the address; not called if that
   *     cannot be told
   */
  void probe(String address, Consumer<Boolean> result) {
    connector.connect(
        address,
        new ClientCallback<>() {
          @Override
          public void completed(BoundedConnection connection) {
            IoUtils.safeClose(connection);
            result.accept(true);
          }

          @Override
          public void failed(IOException cause) {
            if (cause instanceof ConnectException) {
              result.accept(false);
            }
          }
        });
  }

  private void connect(String address, Target target, ClientCallback<BoundedConnection> callback) {
    connector.connect(
        address,
        new ClientCallback<>() {
          @Override
          public void completed(BoundedConnection connection) {
            // Runs on the pool's thread. So does the close listener, even when that thread
            // shuts down.
            connection.onClose(() -> target.openCount--);
            callback.completed(connection);
          }

          @Override
          public void failed(IOException cause) {
            target.openCount--;
            callback.failed(cause);
          }
        });
  }

  private BoundedConnection takeIdle(Target target) {
    Instant now = clock.instant();
    while (!target.idleConnections.isEmpty()) {
      IdleConnection idle = target.idleConnections.pollFirst();
      idleCount--;
      if (idle.usableUntil().isAfter(now) && idle.connection().isSilent()) {
        return idle.connection();
      }
      IoUtils.safeClose(idle.connection());
    }
    return null;
  }

  /**
   * Returns how long a connection may stay idle and still be reused, according to the {@code
   * Keep-Alive} header of a response. At most {@link #MAXIMUM_IDLE_TIME}.
   */
  static Duration maximumIdleTime(ClientResponse response) {
    String keepAlive = response.getResponseHeaders().getFirst(KEEP_ALIVE);
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
    if (!matcher.find()) {
      return MAXIMUM_IDLE_TIME;
    }
    Duration timeout = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
    Duration usable = timeout.minus(MARGIN_BEFORE_CLOSE);
    return usable.compareTo(MAXIMUM_IDLE_TIME) < 0 ? usable : MAXIMUM_IDLE_TIME;
  }

  /**
   * Returns a connection to the pool after a complete exchange.
   *
   * @param address the address of the connection as {@code host:port}
   * @param maximumIdleTime how long the connection may stay idle and still be reused
   */
  void release(String address, BoundedConnection connection, Duration maximumIdleTime) {
    Target target = targets.get(address);
    if (!connection.isOpen() || target == null) {
      IoUtils.safeClose(connection);
      return;
    }
    Instant now = clock.instant();
    target.idleConnections.addFirst(new IdleConnection(connection, now, now.plus(maximumIdleTime)));
    idleCount++;
    if (idleCount > maximumIdleConnections) {
      closeLongestIdle();
    }
  }

  private void closeLongestIdle() {
    Target longestIdle = null;
    for (Target target : targets.values()) {
      boolean isLongerIdle =
          !target.idleConnections.isEmpty()
              && (longestIdle == null
                  || target
                      .idleConnections
                      .peekLast()
                      .idleSince()
                      .isBefore(longestIdle.idleConnections.peekLast().idleSince()));
      longestIdle = isLongerIdle ? target : longestIdle;
    }
    if (longestIdle != null) {
      IoUtils.safeClose(longestIdle.idleConnections.pollLast().connection());
      idleCount--;
    }
    removeUnusedTargets();
  }

  private void removeUnusedTargets() {
    Iterator<Target> iterator = targets.values().iterator();
    while (iterator.hasNext()) {
      Target target = iterator.next();
      if (target.openCount == 0 && target.idleConnections.isEmpty()) {
        iterator.remove();
      }
    }
  }
}
