package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import java.time.Instant;
import org.parsleycart.decision.Outcome;
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
    requireNonNull(listener, "listener is null");
  }

  /** Told of the refusal or of the end of a call. */
  interface Listener {

    /** Takes a refusal: no byte of the request reached the upstream. */
    void refused(RefusalReason reason);

    /** Adds headers to the response just before it is delivered. */
    void beforeDelivery(HttpServerExchange exchange, LoadReport load);

    /** Takes the end of a call that was started. */
    void ended(AttemptEnd end);
  }

  /** Passes everything on to another listener. */
  static class ForwardingListener implements Listener {
    private final Listener next;

    ForwardingListener(Listener next) {
      this.next = requireNonNull(next, "next is null");
    }

    @Override
    public void refused(RefusalReason reason) {
      next.refused(reason);
    }

    @Override
    public void beforeDelivery(HttpServerExchange exchange, LoadReport load) {
      next.beforeDelivery(exchange, load);
    }

    @Override
    public void ended(AttemptEnd end) {
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
        newListener);
  }

  /** Returns the outcome that an answer of an upstream tells: it always answers the call. */
  static Outcome judge(ClientResponse response) {
    requireNonNull(response, "response is null");
    return Outcome.ANSWERED;
  }

  /** Runs a task on the thread of the exchange: at once when that is the thread running now. */
  void onOwnThread(Runnable task) {
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
