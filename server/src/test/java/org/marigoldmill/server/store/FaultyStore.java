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
 * One partition in memory that loses answers, executes appends late, refuses calls and forgets its
 * history, as a seed decides.
 */
public final class FaultyStore implements LogStore {
  private static final int CALLS_UNTIL_LATE_APPEND = 6;

  private record Late(OptionalLong expectedEnd, List<KeyedRecord> records, int due) {}

  private final Random random;
  private final int faultPercent;
  private final List<StoredRecord> log = new ArrayList<>();
  private final Map<String, StoredRecord> newest = new LinkedHashMap<>();
  private final List<Late> late = new ArrayList<>();
  private long first;
  private int calls;
  private int behind;

  /** Creates a store in which a share of the calls fails. */
  public FaultyStore(long seed, int faultPercent) {
    this.random = new Random(seed);
    this.faultPercent = faultPercent;
  }

  @Override
  public synchronized AppendResult append(
      Topic topic, int partition, OptionalLong expectedEnd, List<KeyedRecord> records) {
    runLate();
    if (!faulty()) {
      return store(expectedEnd, records);
    }
    return switch (random.nextInt(4)) {
      case 0 -> new AppendResult(AppendOutcome.REFUSED, -1);
      case 1 -> {
        store(expectedEnd, records);
        yield new AppendResult(AppendOutcome.UNKNOWN, -1);
      }
      case 2 -> {
        late.add(new Late(expectedEnd, records, calls + random.nextInt(CALLS_UNTIL_LATE_APPEND)));
        yield new AppendResult(AppendOutcome.UNKNOWN, -1);
      }
      default -> new AppendResult(AppendOutcome.UNKNOWN, -1);
    };
  }

  @Override
  public synchronized ReadResult read(Topic topic, int partition, long from, long waitMs) {
    runLate();
    if (faulty()) {
      throw new StoreUnavailableException("read: fault of the test");
    }
    if (from < first) {
      return new ReadResult(true, first, log.size(), List.of());
    }
    int most = 1 + random.nextInt(5);
    long end = Math.max(first, (long) log.size() - behind);
    List<StoredRecord> records = log.stream().limit(end).skip(from).limit(most).toList();
    return new ReadResult(false, first, end, records);
  }

  @Override
  public synchronized LatestRecords readLatest(Topic topic, int partition) {
    if (faulty()) {
      throw new StoreUnavailableException("newest: fault of the test");
    }
    long end = Math.max(0, (long) log.size() - behind);
    runLate();
    return behind == 0
        ? new LatestRecords(end, List.copyOf(newest.values()))
        : new LatestRecords(end, newestBefore(end));
  }

  @Override
  public Membership join(String group, String member, Topic topic, long ttlMs, long generation) {
    throw new StoreUnavailableException("groups are not part of this store");
  }

  @Override
  public void leave(String group, String member) {}

  /** Forgets the history; the newest record of each key stays. */
  public synchronized void trim() {
    first = log.size();
  }

  /** Writes what another program writes, whose own faults don't matter here. */
  public synchronized void put(String key, Optional<byte[]> value) {
    store(OptionalLong.empty(), List.of(new KeyedRecord(key, value)));
  }

  /** Lets reads lag by a number of records. */
  public synchronized void lag(int records) {
    behind = records;
  }

  /** Returns everything that was ever stored. */
  public synchronized List<StoredRecord> all() {
    return List.copyOf(log);
  }

  private List<StoredRecord> newestBefore(long end) {
    Map<String, StoredRecord> found = new LinkedHashMap<>();
    log.stream().limit(end).forEach(r -> found.put(r.key(), r));
    return found.values().stream().filter(r -> r.value().isPresent()).toList();
  }

  private boolean faulty() {
    calls++;
    return random.nextInt(100) < faultPercent;
  }

  private void runLate() {
    for (Late append : List.copyOf(late)) {
      if (append.due() <= calls) {
        late.remove(append);
        store(append.expectedEnd(), append.records());
      }
    }
  }

  private AppendResult store(OptionalLong expectedEnd, List<KeyedRecord> records) {
    if (expectedEnd.isPresent() && expectedEnd.getAsLong() != log.size()) {
      return new AppendResult(AppendOutcome.MOVED, -1);
    }
    long offset = log.size();
    for (KeyedRecord keyed : records) {
      StoredRecord stored = new StoredRecord(log.size(), keyed.key(), keyed.value());
      log.add(stored);
      newest.remove(keyed.key());
      if (keyed.value().isPresent()) {
        newest.put(keyed.key(), stored);
      }
    }
    return new AppendResult(AppendOutcome.STORED, offset);
  }
}
