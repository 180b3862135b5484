package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import java.time.Instant;
import java.util.Optional;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.Contract;
import org.xnio.XnioIoThread;

/**
 * A call submitted for admission to an upstream beside this daemon.
 *
 * @param exchange the exchange with the caller, or with the entry that forwarded the call
 * @param upstream the identifier of the upstream
 * @param route the name of the route
 * @param contract the contract of the route
 * @param queueRank the rank in the queue of the upstream; smaller ranks run first
 * @param organisation the organisation of the caller, empty if it has none
 * @param submittedAt when the call arrived beside the upstream
 * @param isNested whether an upstream makes the call while it runs another, which needs it
 * @param deadline time after which a response is useless to the caller
 * @param traceParent the trace context for the upstream, empty if there is none
 * @param callerService the service beside the entry; empty if another daemon is the entry
 * @param cancellation cancels the call when the caller disconnects
 * @param listener receives the refusal or the result on the input/output thread of the exchange
 */
record LocalCall(
    HttpServerExchange exchange,
    RequestBody body,
    String requestIdentifier,
    String upstream,
    String route,
    Contract contract,
    int queueRank,
    Optional<String> organisation,
    Instant submittedAt,
    boolean isNested,
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
    requireNonNull(organisation, "organisation is null");
    requireNonNull(submittedAt, "submittedAt is null");
    requireNonNull(deadline, "deadline is null");
    requireNonNull(traceParent, "traceParent is null");
    requireNonNull(callerService, "callerService is null");
    requireNonNull(cancellation, "cancellation is null");
    requireNonNull(listener, "listener is null");
  }

  /** Receives the refusal or the result of a call. */
  interface Listener {

    /** Receives the load of the upstream, just before a refusal or the result. */
    void loadReported(LoadReport load);

    /** Receives a refusal. No byte of the request has reached the upstream. */
    void refused(RefusalReason reason);

    /** Returns whether a response of the upstream with the status code is delivered. */
    boolean isDeliverable(int status);

    /** Adds headers to the response just before it is delivered. */
    void beforeDelivery(HttpServerExchange exchange, LoadReport load);

    /** Receives the result of a call that was not refused. */
    void ended(AttemptResult result);
  }

  /** Forwards all events to another listener. */
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
    public void ended(AttemptResult result) {
      next.ended(result);
    }
  }

  /** Returns when an answer becomes late; for a nested call when it becomes useless. */
  Instant softDeadline(Configuration configuration) {
    return isNested ? deadline : configuration.softDeadline(contract, deadline);
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
        queueRank,
        organisation,
        submittedAt,
        isNested,
        deadline,
        traceParent,
        callerService,
        cancellation,
        newListener);
  }

  /**
   * Runs a task on the input/output thread of the exchange, immediately if already on that thread.
   */
  void runOnExchangeThread(Runnable task) {
    XnioIoThread exchangeThread = exchange.getIoThread();
    if (XnioIoThread.currentThread() == exchangeThread) {
      task.run();
    } else {
      exchangeThread.execute(task);
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
