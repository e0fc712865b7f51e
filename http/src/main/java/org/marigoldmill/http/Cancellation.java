package org.marigoldmill.http;

/**
 * Cuts a call from another thread, before or after its answer has begun.
 *
 * <pre>{@code
 * Cancellation cancellation = new Cancellation();
 * client.exchange(call.cancelledBy(cancellation));
 * }</pre>
 */
public final class Cancellation {
  private Runnable cut = () -> {};
  private volatile boolean cancelled;

  /** Creates a cancellation that has not been used. */
  public Cancellation() {}

  /** Cuts the call in progress, and every later one. */
  public synchronized void cancel() {
    cancelled = true;
    cut.run();
  }

  /** Returns whether the call has been cut. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Sets what cuts the call in progress. */
  synchronized void attach(Runnable action) {
    cut = action;
    if (cancelled) {
      action.run();
    }
  }
}
