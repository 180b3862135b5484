package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HeaderMap;
import java.util.Optional;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.IdempotencyKeyRegistry;
import org.parsleycart.decision.admission.IdempotencyKeyRegistry.Claim;
import org.parsleycart.decision.admission.RefusalReason;

/**
 * Ensures that a non-idempotent request with an idempotency key runs at most once beside this
 * daemon.
 *
 * <p>Entries route a key to the same upstream while it is available. A caller marks a repeated key
 * with an {@code Idempotency-Attempt} header above 1. A daemon without a record of such a key does
 * not run the request.
 */
public final class IdempotencyGuard {
  private static final String FIRST_ATTEMPT = "1";

  private final IdempotencyKeyRegistry keyRegistry;

  // -- construction

  public IdempotencyGuard(IdempotencyKeyRegistry keyRegistry) {
    this.keyRegistry = requireNonNull(keyRegistry, "keyRegistry is null");
  }

  // -- queries

  /**
   * Returns the idempotency key of a call, prefixed with its route; empty if the call is idempotent
   * or has no key.
   */
  static Optional<String> keyOf(LocalCall call) {
    if (call.contract().requestKind().isIdempotent()) {
      return Optional.empty();
    }
    return Optional.ofNullable(
            call.exchange().getRequestHeaders().getFirst(CallHeaders.IDEMPOTENCY_KEY))
        .map(key -> call.route() + "/" + key);
  }

  // -- operations

  /**
   * Claims the idempotency key of a call.
   *
   * @return the call to submit in its place, or empty if it must not run and its listener was
   *     notified
   */
  Optional<LocalCall> claimKey(LocalCall call) {
    Optional<String> key = keyOf(call);
    if (key.isEmpty()) {
      return Optional.of(call);
    }
    HeaderMap headers = call.exchange().getRequestHeaders();
    String attempt = headers.getFirst(CallHeaders.IDEMPOTENCY_ATTEMPT);
    boolean isMarkedAsRepeated = attempt != null && !attempt.equals(FIRST_ATTEMPT);
    Claim claim = keyRegistry.claim(key.get(), isMarkedAsRepeated);
    return switch (claim) {
      case GRANTED ->
          Optional.of(call.withListener(new KeyReleasingListener(call.listener(), key.get())));
      case FULL -> {
        call.listener().refused(RefusalReason.QUEUE_FULL);
        yield Optional.empty();
      }
      case DUPLICATE, UNKNOWN_REPEAT -> {
        AttemptResult result =
            AttemptResult.undelivered(AttemptOutcome.UNKNOWN, AttemptResult.Fault.REPEATED);
        call.listener().ended(result);
        yield Optional.empty();
      }
    };
  }

  /** Releases the key if the call did not run. */
  private final class KeyReleasingListener extends LocalCall.ForwardingListener {
    private final String key;

    private KeyReleasingListener(LocalCall.Listener next, String key) {
      super(next);
      this.key = key;
    }

    @Override
    public void refused(RefusalReason reason) {
      keyRegistry.release(key);
      super.refused(reason);
    }

    @Override
    public void ended(AttemptResult result) {
      if (result.outcome() == AttemptOutcome.NOT_RUN) {
        keyRegistry.release(key);
      }
      super.ended(result);
    }
  }
}
