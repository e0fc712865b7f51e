package org.marigoldmill.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the memory of all response bodies that are being read at the same time.
 *
 * <p>Answers the load of receivers that send without end on many connections. When the memory is
 * used up, the largest body is given up: that of such a receiver outgrows those of the others.
 */
final class BodyMemory {
  private final long maxBytes;
  private final Set<Body> bodies = new HashSet<>();
  private long usedBytes;

  BodyMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** A body that is being read; released when it is closed. */
  final class Body implements AutoCloseable {
    private final Runnable onGivenUp;
    private long bytes;
    private boolean givenUp;

    private Body(Runnable onGivenUp) {
      this.onGivenUp = onGivenUp;
    }

    /**
     * Adds received bytes, for which a larger body may be given up.
     *
     * @return whether the bytes may be kept
     */
    boolean add(int count) {
      return BodyMemory.this.add(this, count);
    }

    @Override
    public void close() {
      remove(this);
    }
  }

  /**
   * Starts a body.
   *
   * @param onGivenUp run, possibly by another thread, when it is given up; must not block
   */
  synchronized Body open(Runnable onGivenUp) {
    Body body = new Body(onGivenUp);
    bodies.add(body);
    return body;
  }

  private synchronized boolean add(Body body, int count) {
    if (body.givenUp) {
      return false;
    }
    body.bytes += count;
    usedBytes += count;
    while (usedBytes > maxBytes) {
      giveUpLargest();
    }
    return !body.givenUp;
  }

  private void giveUpLargest() {
    Body largest = bodies.stream().max(Comparator.comparingLong(b -> b.bytes)).orElseThrow();
    remove(largest);
    largest.givenUp = true;
    largest.onGivenUp.run();
  }

  private synchronized void remove(Body body) {
    if (bodies.remove(body)) {
      usedBytes -= body.bytes;
    }
  }
}
