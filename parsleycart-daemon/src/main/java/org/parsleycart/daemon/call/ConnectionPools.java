package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.connector.ByteBufferPool;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.parsleycart.daemon.settings.DaemonLimits;
import org.xnio.XnioIoThread;

/** The connection pools of all input/output threads. The limits are divided evenly among them. */
public final class ConnectionPools {
  private final ByteBufferPool buffers;
  private final InstantSource clock;
  private final DaemonLimits limits;
  private final Map<XnioIoThread, ConnectionPool> pools = new ConcurrentHashMap<>();

  // -- construction

  public ConnectionPools(ByteBufferPool buffers, InstantSource clock, DaemonLimits limits) {
    this.buffers = requireNonNull(buffers, "buffers is null");
    this.clock = requireNonNull(clock, "clock is null");
    this.limits = requireNonNull(limits, "limits is null");
  }

  // -- queries

  ConnectionPool of(XnioIoThread thread) {
    return pools.computeIfAbsent(thread, this::create);
  }

  private ConnectionPool create(XnioIoThread thread) {
    int threads = limits.inputOutputThreads();
    return new ConnectionPool(
        thread,
        buffers,
        clock,
        Math.max(1, limits.connectionsPerTarget() / threads),
        Math.max(1, limits.idleConnections() / threads));
  }
}
