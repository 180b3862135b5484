package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import java.time.Instant;
import java.util.Optional;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.Contract;
import org.xnio.XnioIoThread;

/**
 * A call that asks for admission to an upstream beside this daemon.
 *
 * @param exchange the exchange to answer, with the entry or the caller
 * @param body the request body
 * @param requestIdentifier names the request
 * @param upstream the identifier of the upstream
 * @param route the name of the route
 * @param contract the contract of the route
 * @param deadline when an answer is of no use any more
 * @param traceParent the trace context for the upstream
 * @param callerService the service beside the entry, when this daemon is the entry
 * @param cancellation stops the call when its caller has gone
 * @param listener told of the refusal or the end, on the exchange's input/output thread
 */
record LocalCall(
    HttpServerExchange exchange,
    RequestBody body,
    String requestIdentifier,
    String upstream,
    String route,
    Contract contract,
    Instant deadline,
    String traceParent,
    Optional<String> callerService,
    Cancellation cancellation,
    Listener listener) {

  LocalCall {
    requireNonNull(exchange, "exchange is null");
    requireNonNull(body, "body is null");
    requireNonNull(requestIdentifier, "requestIdentifier is null");
    requireNonNull(upstream, "upstream is null");
    requireNonNull(route, "route is null");
    requireNonNull(contract, "contract is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(traceParent, "traceParent is null");
    requireNonNull(callerService, "callerService is null");
    requireNonNull(cancellation, "cancellation is null");
    requireNonNull(listener, "listener is null");
  }

  /** Told of the refusal or of the end of a call. */
  interface Listener {

    /** Takes the load of the upstream, just before a refusal or an end. */
    void loadReported(LoadReport load);

    /** Takes a refusal: no byte of the request reached the upstream. */
    void refused(RefusalReason reason);

    /** Returns whether an answer of the upstream with the given status is to be delivered. */
    boolean isDeliverable(int status);

    /** Adds headers to the response just before it is delivered. */
    void beforeDelivery(HttpServerExchange exchange, LoadReport load);

    /** Takes the end of a call that was started. */
    void ended(AttemptResult end);
  }

  /** Passes everything on to another listener. */
  static class ForwardingListener implements Listener {
    private final Listener next;

    ForwardingListener(Listener next) {
      this.next = requireNonNull(next, "next is null");
    }

    @Override
    public void loadReported(LoadReport load) {
      next.loadReported(load);
    }

    @Override
    public void refused(RefusalReason reason) {
      next.refused(reason);
    }

    @Override
    public boolean isDeliverable(int status) {
      return next.isDeliverable(status);
    }

    @Override
    public void beforeDelivery(HttpServerExchange exchange, LoadReport load) {
      next.beforeDelivery(exchange, load);
    }

    @Override
    public void ended(AttemptResult end) {
      next.ended(end);
    }
  }

  /** Returns this call with another listener. */
  LocalCall withListener(Listener newListener) {
    return new LocalCall(
        exchange,
        body,
        requestIdentifier,
        upstream,
        route,
        contract,
        deadline,
        traceParent,
        callerService,
        cancellation,
        newListener);
  }

  /** Runs a task on the thread of the exchange: at once when that is the thread running now. */
  void runOnExchangeThread(Runnable task) {
    XnioIoThread own = exchange.getIoThread();
    if (XnioIoThread.currentThread() == own) {
      task.run();
    } else {
      own.execute(task);
    }
  }

  // -- Object

  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  @Override
  public int hashCode() {
    return System.identityHashCode(this);
  }
}
