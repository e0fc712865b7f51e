package org.marigoldmill.http;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** Checks and parses socket addresses of the form {@code ip:port}. */
public final class Addresses {
  private static final Pattern IPV4_WITH_PORT =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
  private static final int ADDRESS_BYTES = 4;
  private static final int MAX_BYTE = 255;
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** Returns whether a text is an IPv4 address, a colon and a port that a server can have. */
  public static boolean isIpv4WithPort(String text) {
    Matcher parts = IPV4_WITH_PORT.matcher(text);
    if (!parts.matches()) {
      return false;
    }
    int port = Integer.parseInt(parts.group(ADDRESS_BYTES + 1));
    return port > 0
        && port <= MAX_PORT
        && IntStream.rangeClosed(1, ADDRESS_BYTES)
            .allMatch(i -> Integer.parseInt(parts.group(i)) <= MAX_BYTE);
  }

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
