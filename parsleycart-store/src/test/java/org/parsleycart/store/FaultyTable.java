package org.parsleycart.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** A table whose operations go wrong on demand, at a chosen operation counted from now. */
final class FaultyTable implements TransactionalTable {
  private final TransactionalTable inner;
  private Fault fault = Fault.NONE;
  private int operationsBefore;
  private int operationsFaulty;
  private Runnable racer = () -> {};

  /** What goes wrong. */
  enum Fault {
    NONE,
    /** The request does not reach the table. */
    UNREACHABLE,
    /** The request does not reach the table, and the caller cannot know. */
    LOST_BEFORE,
    /** The answer is lost after the effect. */
    LOST_AFTER,
    /** Another writer comes first. */
    RACER
  }

  FaultyTable(TransactionalTable inner) {
    this.inner = inner;
  }

  /** Lets operations go wrong after some have passed, for a number of operations. */
  void scheduleFault(Fault newFault, int before, int faulty, Runnable newRacer) {
    fault = newFault;
    operationsBefore = before;
    operationsFaulty = faulty;
    racer = newRacer;
  }

  private <T> Either<PlatformError, T> perform(Supplier<Either<PlatformError, T>> operation) {
    if (operationsBefore > 0) {
      operationsBefore--;
      return operation.get();
    }
    if (operationsFaulty <= 0) {
      return operation.get();
    }
    operationsFaulty--;
    return switch (fault) {
      case NONE -> operation.get();
      case UNREACHABLE -> Either.left(new PlatformError.Unreachable("test"));
      case LOST_BEFORE -> Either.left(new PlatformError.NoAnswer("test"));
      case LOST_AFTER -> {
        Either<PlatformError, T> lost = operation.get();
        yield Either.left(new PlatformError.NoAnswer("lost: " + lost));
      }
      case RACER -> {
        racer.run();
        yield operation.get();
      }
    };
  }

  @Override
  public Either<PlatformError, Optional<Row>> read(String key) {
    return perform(() -> inner.read(key));
  }

  @Override
  public Either<PlatformError, Boolean> insertIfAbsent(String key, byte[] value) {
    return perform(() -> inner.insertIfAbsent(key, value));
  }

  @Override
  public Either<PlatformError, Boolean> compareAndSet(String key, long revision, byte[] value) {
    return perform(() -> inner.compareAndSet(key, revision, value));
  }

  @Override
  public Either<PlatformError, Boolean> delete(String key, long revision) {
    return perform(() -> inner.delete(key, revision));
  }

  @Override
  public Either<PlatformError, List<Row>> scan(String prefix, String after, int limit) {
    return perform(() -> inner.scan(prefix, after, limit));
  }
}
