package org.marigoldmill.http;

import java.net.InetSocketAddress;

/** Addresses of the form {@code ip:port}. */
public final class Addresses {
  private Addresses() {}

  /** Parses an address that names an IP number and a port. */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }
}
