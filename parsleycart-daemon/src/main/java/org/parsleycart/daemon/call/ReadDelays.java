package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.parsleycart.decision.admission.ReadDelay;
import org.xnio.XnioIoThread;

/** Measures for each input/output thread how long requests wait before they are read. */
public final class ReadDelays {
  private final InstantSource clock;
  private final Map<XnioIoThread, ReadDelay> delays = new ConcurrentHashMap<>();

  // -- construction

  public ReadDelays(InstantSource clock) {
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Records a request on its input/output thread, and returns the read delay of that thread. */
  ReadDelay recordRequest(HttpServerExchange exchange) {
    XnioIoThread thread = exchange.getIoThread();
    ReadDelay delay = delays.computeIfAbsent(thread, unused -> new ReadDelay());
    if (delay.recordRequest(clock.instant())) {
      // A task that the thread submits to itself runs after all connections of the current event
      // loop iteration have been handled.
      thread.execute(() -> delay.recordPassEnd(clock.instant()));
    }
    return delay;
  }
}
