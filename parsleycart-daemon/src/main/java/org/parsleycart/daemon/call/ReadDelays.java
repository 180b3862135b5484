package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.parsleycart.decision.admission.ReadDelay;
import org.xnio.XnioIoThread;

/** The delay of each input/output thread, kept as its requests are read. */
public final class ReadDelays {
  private final InstantSource clock;
  private final Map<XnioIoThread, ReadDelay> delays = new ConcurrentHashMap<>();

  // -- construction

  /** Creates delays that no thread has yet. */
  public ReadDelays(InstantSource clock) {
    this.clock = requireNonNull(clock, "clock is null");
  }

  // -- events

  /** Takes note of a request on its thread; returns the delay of that thread. */
  ReadDelay recordRequest(HttpServerExchange exchange) {
    XnioIoThread thread = exchange.getIoThread();
    ReadDelay delay = delays.computeIfAbsent(thread, unused -> new ReadDelay());
    if (delay.recordRequest(clock.instant())) {
      // What a thread hands itself runs when all connections of the present pass were handled.
      thread.execute(() -> delay.recordPassEnd(clock.instant()));
    }
    return delay;
  }
}
