package org.marigoldmill.bench;

import static org.marigoldmill.bench.Bench.figure;
import static org.marigoldmill.bench.Bench.row;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.schema.bench.BenchRow;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.log.UsageCounter;
import org.marigoldmill.schema.peer.ExchangeMessage;
import org.marigoldmill.schema.peer.MemberEntry;

/** Measures the membership protocol's cost per process for clusters of different sizes. */
final class MembershipBench {
  private static final int[] PROCESS_COUNTS = {10, 40, 80, 160, 320};
  private static final int ZONE_SIZE = 40;
  private static final int MIN_ZONES = 2;
  private static final int DIGEST_LIMIT = 16;
  private static final int COUNTERS_PER_MESSAGE = 3;
  private static final int ORGANISATIONS = 8;
  private static final int WARM_UP_ROUNDS = 60;
  private static final int ROUNDS = 60;
  private static final long ROUND_MS = 1_000;
  private static final long FAILURE_TIMEOUT_MS = 1_000_000;
  private static final double NANOS_PER_MICRO = 1_000;

  private record Node(MemberEntry entry, MemberTable table) {}

  private MembershipBench() {}

  static List<BenchRow> run(long seed) {
    return Arrays.stream(PROCESS_COUNTS).mapToObj(n -> measure(n, seed)).toList();
  }

  private static BenchRow measure(int size, long seed) {
    Random random = new Random(seed);
    List<Node> nodes = new ArrayList<>();
    final long heapBefore = usedHeapBytes();
    for (int i = 0; i < size; i++) {
      nodes.add(node(i, Math.max(MIN_ZONES, size / ZONE_SIZE)));
    }
    long now = 0;
    for (int i = 0; i < WARM_UP_ROUNDS; i++, now += ROUND_MS) {
      round(nodes, random, now);
    }
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    final long cpuNanosBefore = threads.getCurrentThreadCpuTime();
    long bytes = 0;
    for (int i = 0; i < ROUNDS; i++, now += ROUND_MS) {
      bytes += round(nodes, random, now);
    }
    long cpuNanos = threads.getCurrentThreadCpuTime() - cpuNanosBefore;
    double seconds = (double) size * ROUNDS * ROUND_MS / 1e3;
    return row(
        size + " processes",
        figure("sent and received", "B/s per process", bytes / seconds),
        figure("cpu", "us/s per process", cpuNanos / NANOS_PER_MICRO / seconds),
        figure("heap", "KB per process", (usedHeapBytes() - heapBefore) / 1e3 / size),
        figure("heartbeat age near p99", "rounds", heartbeatAgeP99(nodes, now, true)),
        figure("heartbeat age far p99", "rounds", heartbeatAgeP99(nodes, now, false)));
  }

  private static Node node(int index, int zones) {
    MemberEntry entry =
        MemberEntry.newBuilder()
            .setName("entry-%03d".formatted(index))
            .setZone("zone-" + index % zones)
            .setAddress("10.0.%d.%d:9000".formatted(index / 250, index % 250))
            .setIncarnation(1_796_000_000_000L + index)
            .build();
    return new Node(entry, MemberTable.of(entry, FAILURE_TIMEOUT_MS, 0));
  }

  /**
   * Lets each node exchange with a peer of its zone, and with probability 1/2 also with a peer of
   * another zone. Returns the bytes sent and received.
   */
  private static long round(List<Node> nodes, Random random, long now) {
    long bytes = 0;
    for (Node node : nodes) {
      node.table().tick(now);
      bytes += exchange(node, pick(nodes, node, true, random), random, now);
      if (random.nextBoolean()) {
        bytes += exchange(node, pick(nodes, node, false, random), random, now);
      }
    }
    return bytes;
  }

  private static long exchange(Node a, Node b, Random random, long now) {
    ExchangeMessage request = message(a, random, now);
    b.table().merge(request.getMembersList(), now);
    ExchangeMessage reply = message(b, random, now);
    a.table().merge(reply.getMembersList(), now);
    return 2L * (request.getSerializedSize() + reply.getSerializedSize());
  }

  private static ExchangeMessage message(Node node, Random random, long now) {
    ExchangeMessage.Builder message =
        ExchangeMessage.newBuilder()
            .setSender(node.entry().getName())
            .setNextOffset(1_000_000)
            .setRevision(900_000)
            .addAllMembers(node.table().digest(now, DIGEST_LIMIT, random));
    for (int i = 0; i < COUNTERS_PER_MESSAGE; i++) {
      message.addCounters(counter(i));
    }
    return message.build();
  }

  private static UsageCounter counter(int index) {
    UsageCounter.Builder counter =
        UsageCounter.newBuilder().setSource("zone-1/entry-%03d#1796000000000".formatted(index));
    for (int i = 0; i < ORGANISATIONS; i++) {
      counter.addUsage(
          Usage.newBuilder()
              .setOrganisation("organisation-" + i)
              .setRequests(1_000_000)
              .setTokens(900_000_000));
    }
    return counter.build();
  }

  private static Node pick(List<Node> nodes, Node self, boolean sameZone, Random random) {
    Node peer = self;
    while (peer.entry().equals(self.entry())
        || peer.entry().getZone().equals(self.entry().getZone()) != sameZone) {
      peer = nodes.get(random.nextInt(nodes.size()));
    }
    return peer;
  }

  private static double heartbeatAgeP99(List<Node> nodes, long now, boolean sameZone) {
    Histogram ages = new Histogram(3);
    for (Node node : nodes) {
      nodes.stream()
          .filter(n -> n.entry().getZone().equals(node.entry().getZone()) == sameZone)
          .mapToLong(n -> node.table().heartbeatAgeMs(n.entry().getName(), now) / ROUND_MS)
          .map(a -> Math.min(a, WARM_UP_ROUNDS + ROUNDS))
          .forEach(ages::recordValue);
    }
    return ages.getValueAtPercentile(99);
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
