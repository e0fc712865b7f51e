package org.marigoldmill.standin;

/** A running stand-in. */
public interface Standin extends AutoCloseable {
  /** Returns the address that it listens on. */
  String address();

  @Override
  void close();
}
