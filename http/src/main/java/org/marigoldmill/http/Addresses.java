package org.marigoldmill.http;

import java.net.InetSocketAddress;

/** Parses socket addresses of the form {@code ip:port}. */
public final class Addresses {
  private Addresses() {}

  /**
   * Parses an address.
   *
   * @param address IPv4 address or bracketed IPv6 address, a colon and a port
   * @throws IllegalArgumentException when the port is not a number from 0 to 65535
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }
}
