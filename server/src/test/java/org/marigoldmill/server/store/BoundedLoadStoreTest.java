package org.marigoldmill.server.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marigoldmill.server.Pause;

@Timeout(60)
class BoundedLoadStoreTest {
  private static final Topic TOPIC = new Topic("submissions", true);
  private static final int PARTITIONS = 12;
  private static final int FIRST = 0;
  private static final List<Integer> URGENT = List.of(7, 3);
  private static final long QUEUED_MS = 200;

  private final Queue<Integer> loaded = new ConcurrentLinkedQueue<>();
  private final CountDownLatch gate = new CountDownLatch(1);
  private final AtomicInteger started = new AtomicInteger();

  /** Loads all partitions at once, one at a time of which the first is held back at first. */
  private void loadAll(List<Integer> urgent) throws InterruptedException {
    LogStore store =
        new BoundedLoadStore(
            new CustomLoadStore(new MemoryStore(), this::loadHeldBack), 1, () -> urgent);
    List<Thread> threads = new ArrayList<>();
    threads.add(start(store, FIRST));
    while (started.get() == 0) {
      Pause.millis(1);
    }
    IntStream.range(FIRST + 1, PARTITIONS).forEach(p -> threads.add(start(store, p)));
    Pause.millis(QUEUED_MS);
    gate.countDown();
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private LogStore.LatestRecords loadHeldBack(int partition) {
    loaded.add(partition);
    started.incrementAndGet();
    await(gate);
    return new LogStore.LatestRecords(0, List.of());
  }

  private static Thread start(LogStore store, int partition) {
    Thread thread = new Thread(() -> store.readLatest(TOPIC, partition), "load");
    thread.start();
    return thread;
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Nested
  class ReadLatest {
    @Test
    void should_load_urgent_partitions_before_others_that_wait() throws InterruptedException {
      // WHEN
      loadAll(URGENT);
      // THEN
      assertThat(List.copyOf(loaded).subList(1, 1 + URGENT.size())).isEqualTo(URGENT);
    }

    @Test
    void should_load_every_partition_when_none_is_urgent() throws InterruptedException {
      // WHEN
      loadAll(List.of());
      // THEN
      assertThat(loaded).hasSize(PARTITIONS).doesNotHaveDuplicates();
    }
  }
}
