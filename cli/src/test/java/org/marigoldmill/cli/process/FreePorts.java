package org.marigoldmill.cli.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Free ports for the processes that tests start.
 *
 * <p>A process binds its ports later than the test chooses them, so that another run of the tests
 * could take them in between. Each run therefore owns a block of ports, and holds its first one
 * open until it ends.
 */
final class FreePorts {
  private static final int FIRST_PORT = 10_000;
  private static final int BLOCK_PORTS = 2_500;
  private static final int BLOCKS = 8;

  private record Block(ServerSocket owned, AtomicInteger next) {
    private int nextPort() {
      int offset = 1 + Math.floorMod(next.getAndIncrement(), BLOCK_PORTS - 1);
      return owned.getLocalPort() + offset;
    }
  }

  private static final Block BLOCK =
      IntStream.range(0, BLOCKS)
          .mapToObj(i -> bind(FIRST_PORT + i * BLOCK_PORTS))
          .flatMap(Optional::stream)
          .findFirst()
          .map(s -> new Block(s, new AtomicInteger()))
          .orElseThrow(() -> new IllegalStateException("all blocks of ports are in use"));

  private FreePorts() {}

  /** Returns a loopback address; its port is below the range of ephemeral ports. */
  static String address() {
    int port = BLOCK.nextPort();
    while (!isFree(port)) {
      port = BLOCK.nextPort();
    }
    return "127.0.0.1:" + port;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = bind(port).orElse(null)) {
      return socket != null;
    } catch (IOException e) {
      return false;
    }
  }

  private static Optional<ServerSocket> bind(int port) {
    try {
      return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
