package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import io.undertow.util.HeaderMap;
import java.util.Optional;
import org.parsleycart.decision.AttemptOutcome;
import org.parsleycart.decision.admission.IdempotencyKeyRegistry;
import org.parsleycart.decision.admission.IdempotencyKeyRegistry.Claim;
import org.parsleycart.decision.admission.RefusalReason;

/**
 * Lets a non-idempotent request with an idempotency key run at most once beside this daemon.
 *
 * <p>Entries send a key always to the same upstream as long as it is there. A caller that repeats a
 * key says so by {@code Idempotency-Attempt} above 1; then a daemon that remembers nothing does not
 * run it.
 */
public final class IdempotencyGuard {
  private static final String FIRST_ATTEMPT = "1";

  private final IdempotencyKeyRegistry memory;

  // -- construction

  /** Creates the guard on the given memory. */
  public IdempotencyGuard(IdempotencyKeyRegistry memory) {
    this.memory = requireNonNull(memory, "memory is null");
  }

  // -- queries

  /** Returns the key of a call, if its kind must not run twice and it has one. */
  static Optional<String> keyOf(LocalCall call) {
    if (call.contract().requestKind().isIdempotent()) {
      return Optional.empty();
    }
    return Optional.ofNullable(
            call.exchange().getRequestHeaders().getFirst(CallHeaders.IDEMPOTENCY_KEY))
        .map(key -> call.route() + "/" + key);
  }

  // -- operations

  /** Returns the call to submit in place of the given one, or empty when it must not run. */
  Optional<LocalCall> claimKey(LocalCall call) {
    Optional<String> key = keyOf(call);
    if (key.isEmpty()) {
      return Optional.of(call);
    }
    HeaderMap headers = call.exchange().getRequestHeaders();
    String attempt = headers.getFirst(CallHeaders.IDEMPOTENCY_ATTEMPT);
    boolean saidToRepeat = attempt != null && !attempt.equals(FIRST_ATTEMPT);
    Claim claim = memory.claim(key.get(), saidToRepeat);
    return switch (claim) {
      case GRANTED -> Optional.of(call.withListener(new Releasing(call.listener(), key.get())));
      case FULL -> {
        call.listener().refused(RefusalReason.QUEUE_FULL);
        yield Optional.empty();
      }
      case DUPLICATE, UNKNOWN_REPEAT -> {
        AttemptResult end =
            AttemptResult.undelivered(AttemptOutcome.UNKNOWN, AttemptResult.Fault.REPEATED);
        call.listener().ended(end);
        yield Optional.empty();
      }
    };
  }

  /** Gives the key back when the call turns out not to have run. */
  private final class Releasing extends LocalCall.ForwardingListener {
    private final String key;

    private Releasing(LocalCall.Listener next, String key) {
      super(next);
      this.key = key;
    }

    @Override
    public void refused(RefusalReason reason) {
      memory.release(key);
      super.refused(reason);
    }

    @Override
    public void ended(AttemptResult end) {
      if (end.outcome() == AttemptOutcome.NOT_RUN) {
        memory.release(key);
      }
      super.ended(end);
    }
  }
}
