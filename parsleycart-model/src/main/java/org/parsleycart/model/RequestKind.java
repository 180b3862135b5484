package org.parsleycart.model;

/** The nature of a request; decides its place in queues and whether it may run again. */
public enum RequestKind {
  /** A check between parts of the mesh; runs before all other work. */
  INTERNAL_CHECK("internal-check", 0, true),
  /** A read on whose answer a person waits. */
  INTERACTIVE_READ("interactive-read", 1, true),
  /** A charge, booking or order that may run at most once. */
  NON_IDEMPOTENT_WRITE("non-idempotent-write", 1, false),
  /** Work that can wait or be repeated later. */
  DEFERRABLE("deferrable", 2, true);

  private final String label;
  private final int priority;
  private final boolean idempotent;

  RequestKind(String label, int priority, boolean idempotent) {
    this.label = label;
    this.priority = priority;
    this.idempotent = idempotent;
  }

  /** Returns the queue priority; smaller runs first. */
  public int priority() {
    return priority;
  }

  /** Returns whether a request of this kind may run more than once. */
  public boolean isIdempotent() {
    return idempotent;
  }

  @Override
  public String toString() {
    return label;
  }
}
