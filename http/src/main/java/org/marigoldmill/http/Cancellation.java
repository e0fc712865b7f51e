package org.marigoldmill.http;

/**
 * Aborts a call from another thread, before or after its response has begun.
 *
 * <pre>{@code
 * Cancellation cancellation = new Cancellation();
 * client.exchange(call.cancellation(cancellation));
 * }</pre>
 */
public final class Cancellation {
  private Runnable abortAction = () -> {};
  private volatile boolean cancelled;

  /** Creates a cancellation that has not been requested yet. */
  public Cancellation() {}

  /** Aborts the call in progress, and every later call that uses this cancellation. */
  public synchronized void cancel() {
    cancelled = true;
    abortAction.run();
  }

  /** Returns a cancellation for a part of this one, which can be cancelled by itself. */
  public Cancellation child() {
    Cancellation child = new Cancellation();
    onCancel(child::cancel);
    return child;
  }

  /** Returns whether {@link #cancel} has been called. */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Sets the action that aborts the call in progress, in place of the previous one.
   *
   * <p>Runs the action at once when the cancellation has already been requested.
   */
  synchronized void onCancel(Runnable action) {
    abortAction = action;
    if (cancelled) {
      action.run();
    }
  }
}
