package org.parsleycart.model;

/** The kind of a request, which determines its queue priority and whether it may be retried. */
public enum RequestKind {
  /** A check between components of the mesh; runs before all other requests. */
  INTERNAL_CHECK("internal-check", 0, true),
  /** A read for which a person is waiting. */
  INTERACTIVE_READ("interactive-read", 1, true),
  /** A charge, booking or order that must run at most once. */
  NON_IDEMPOTENT_WRITE("non-idempotent-write", 1, false),
  /** A large body that must be stored at most once; it is transferred without being held whole. */
  UPLOAD("upload", 1, false),
  /** Work that can be delayed or repeated. */
  DEFERRABLE("deferrable", 2, true);

  private final String label;
  private final int priority;
  private final boolean idempotent;

  RequestKind(String label, int priority, boolean idempotent) {
    this.label = label;
    this.priority = priority;
    this.idempotent = idempotent;
  }

  /** Returns the queue priority; requests with a smaller value run first. */
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
