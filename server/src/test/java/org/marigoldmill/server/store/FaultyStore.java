package org.marigoldmill.server.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.marigoldmill.core.submission.KeyedRecord;

/**
 * In-memory store of one partition with seeded fault injection: lost answers, delayed appends,
 * refused calls, stale reads and trimmed history.
 */
public final class FaultyStore implements LogStore {
  /** A delayed append takes effect after fewer than this many further calls. */
  private static final int MAX_APPEND_DELAY_CALLS = 6;

  private record DelayedAppend(
      OptionalLong expectedEndOffset, List<KeyedRecord> records, int dueAtCall) {}

  private final Random random;
  private final int faultPercent;
  private final List<StoredRecord> log = new ArrayList<>();
  private final Map<String, StoredRecord> latestByKey = new LinkedHashMap<>();
  private final List<DelayedAppend> delayedAppends = new ArrayList<>();
  private long firstOffset;
  private int calls;
  private int readLag;

  /** Creates a store in which a percentage of the calls fails. */
  public FaultyStore(long seed, int faultPercent) {
    this.random = new Random(seed);
    this.faultPercent = faultPercent;
  }

  @Override
  public synchronized AppendResult append(
      Topic topic, int partition, OptionalLong expectedEndOffset, List<KeyedRecord> records) {
    runDelayedAppends();
    if (!nextCallFails()) {
      return store(expectedEndOffset, records);
    }
    return switch (random.nextInt(4)) {
      case 0 -> new AppendResult(AppendOutcome.REFUSED, -1);
      case 1 -> {
        store(expectedEndOffset, records);
        yield new AppendResult(AppendOutcome.UNKNOWN, -1);
      }
      case 2 -> {
        delayedAppends.add(
            new DelayedAppend(
                expectedEndOffset, records, calls + random.nextInt(MAX_APPEND_DELAY_CALLS)));
        yield new AppendResult(AppendOutcome.UNKNOWN, -1);
      }
      default -> new AppendResult(AppendOutcome.UNKNOWN, -1);
    };
  }

  @Override
  public synchronized ReadResult read(Topic topic, int partition, long fromOffset, long waitMs) {
    runDelayedAppends();
    if (nextCallFails()) {
      throw new StoreUnavailableException("read: injected fault");
    }
    if (fromOffset < firstOffset) {
      return new ReadResult(true, firstOffset, log.size(), List.of());
    }
    int maxRecords = 1 + random.nextInt(5);
    long endOffset = Math.max(firstOffset, (long) log.size() - readLag);
    List<StoredRecord> records =
        log.stream().limit(endOffset).skip(fromOffset).limit(maxRecords).toList();
    return new ReadResult(false, firstOffset, endOffset, records);
  }

  @Override
  public synchronized LatestRecords readLatest(Topic topic, int partition) {
    if (nextCallFails()) {
      throw new StoreUnavailableException("readLatest: injected fault");
    }
    long end = Math.max(0, (long) log.size() - readLag);
    runDelayedAppends();
    return readLag == 0
        ? new LatestRecords(end, List.copyOf(latestByKey.values()))
        : new LatestRecords(end, latestBefore(end));
  }

  @Override
  public Membership join(String group, String member, Topic topic, long ttlMs, long generation) {
    throw new StoreUnavailableException("join: groups are not supported by this store");
  }

  @Override
  public void leave(String group, String member) {}

  /** Trims all history; the latest record of each key stays. */
  public synchronized void trim() {
    firstOffset = log.size();
  }

  /** Writes a record without fault injection, as another program would. */
  public synchronized void put(String key, Optional<byte[]> value) {
    store(OptionalLong.empty(), List.of(new KeyedRecord(key, value)));
  }

  /** Makes reads end a number of records before the end of the log. */
  public synchronized void setReadLag(int records) {
    readLag = records;
  }

  /** Returns all records ever stored, including trimmed ones. */
  public synchronized List<StoredRecord> allRecords() {
    return List.copyOf(log);
  }

  private List<StoredRecord> latestBefore(long end) {
    Map<String, StoredRecord> latest = new LinkedHashMap<>();
    log.stream().limit(end).forEach(r -> latest.put(r.key(), r));
    return latest.values().stream().filter(r -> r.value().isPresent()).toList();
  }

  private boolean nextCallFails() {
    calls++;
    return random.nextInt(100) < faultPercent;
  }

  private void runDelayedAppends() {
    for (DelayedAppend append : List.copyOf(delayedAppends)) {
      if (append.dueAtCall() <= calls) {
        delayedAppends.remove(append);
        store(append.expectedEndOffset(), append.records());
      }
    }
  }

  private AppendResult store(OptionalLong expectedEndOffset, List<KeyedRecord> records) {
    if (expectedEndOffset.isPresent() && expectedEndOffset.getAsLong() != log.size()) {
      return new AppendResult(AppendOutcome.MOVED, -1);
    }
    long offset = log.size();
    for (KeyedRecord keyed : records) {
      StoredRecord stored = new StoredRecord(log.size(), keyed.key(), keyed.value());
      log.add(stored);
      latestByKey.remove(keyed.key());
      if (keyed.value().isPresent()) {
        latestByKey.put(keyed.key(), stored);
      }
    }
    return new AppendResult(AppendOutcome.STORED, offset);
  }
}
