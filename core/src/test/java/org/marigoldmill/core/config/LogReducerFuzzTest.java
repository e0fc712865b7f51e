package org.marigoldmill.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.log.KeyWithdrawal;
import org.marigoldmill.schema.log.LeaseClaim;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.log.UsageCounter;
import org.marigoldmill.schema.log.WindowFigures;
import org.marigoldmill.schema.log.WindowSeal;

/**
 * Reduces random logs with conflicting, duplicate and stale records, from the start and from any
 * snapshot, and compares with an oracle that keeps the revision, the withdrawn keys and the sealed
 * usage.
 */
class LogReducerFuzzTest {
  private static final int RECORDS = 400;
  private static final int TRIES = 30;
  private static final String SCOPE = "billing/a";

  /** The expected state. */
  private static final class Oracle {
    private long revision;
    private long usageWindowMs;
    private final TreeSet<String> withdrawn = new TreeSet<>();
    private final Map<String, Long> sealedTokens = new HashMap<>();
    private long lastWindow = -1;
    private long epoch;

    private void apply(long offset, LogRecord logRecord) {
      switch (logRecord.getBodyCase()) {
        case DECLARATION -> declare(offset, logRecord.getDeclaration());
        case WITHDRAWAL -> withdrawn.addAll(logRecord.getWithdrawal().getSha256List());
        case CLAIM -> epoch = epoch == 0 ? offset : epoch;
        case SEAL -> seal(logRecord.getSeal());
        default -> {}
      }
    }

    private void declare(long offset, Declaration declaration) {
      if (declaration.getAgainstRevision() == revision) {
        revision = offset;
        usageWindowMs = declaration.getUsageWindowMs();
      }
    }

    private void seal(WindowSeal seal) {
      if (epoch == 0 || seal.getEpoch() != epoch || seal.getWindow() <= lastWindow) {
        return;
      }
      lastWindow = seal.getWindow();
      for (UsageCounter counter : seal.getCountersList()) {
        sealedTokens.merge(counter.getSource(), counter.getUsage(0).getTokens(), Math::max);
      }
    }

    private long billed() {
      return sealedTokens.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  @Property(tries = TRIES, seed = "20261203")
  void should_agree_with_the_oracle_when_records_race_repeat_and_come_late(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Random random = new Random(seed);
    List<LogRecord> log = new ArrayList<>();
    Oracle oracle = new Oracle();
    Snapshot state = LogReducer.empty();
    long revisionBefore = 0;
    long billed = 0;
    // WHEN
    for (long offset = 1; offset <= RECORDS; offset++) {
      LogRecord next = nextRecord(random, oracle, log);
      log.add(next);
      oracle.apply(offset, next);
      state = LogReducer.apply(state, offset, next);
      // THEN
      assertThat(state.getRevision()).isEqualTo(oracle.revision);
      assertThat(state.getRevision()).isGreaterThanOrEqualTo(revisionBefore);
      assertThat(state.getDeclaration().getUsageWindowMs()).isEqualTo(oracle.usageWindowMs);
      assertThat(state.getWithdrawnList()).containsExactlyElementsOf(oracle.withdrawn);
      revisionBefore = state.getRevision();
      billed += tokensSealedAt(state, offset);
      assertThat(billed).as("billed over all windows").isEqualTo(oracle.billed());
    }
  }

  @Property(tries = TRIES, seed = "20261204")
  void should_reach_the_same_state_when_started_from_any_snapshot(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Random random = new Random(seed);
    List<LogRecord> log = new ArrayList<>();
    Oracle oracle = new Oracle();
    List<Snapshot> states = new ArrayList<>(List.of(LogReducer.empty()));
    for (long offset = 1; offset <= RECORDS; offset++) {
      LogRecord next = nextRecord(random, oracle, log);
      log.add(next);
      oracle.apply(offset, next);
      states.add(LogReducer.apply(states.get(states.size() - 1), offset, next));
    }
    // WHEN
    Snapshot resumed = states.get(random.nextInt(states.size()));
    for (int i = random.nextInt((int) resumed.getNextOffset()); i < log.size(); i++) {
      resumed = LogReducer.apply(resumed, i + 1L, log.get(i));
    }
    // THEN
    assertThat(resumed).isEqualTo(states.get(states.size() - 1));
  }

  private static long tokensSealedAt(Snapshot state, long offset) {
    return state.getWindowsList().stream()
        .filter(w -> w.getSealOffset() == offset)
        .map(WindowFigures::getUsageList)
        .flatMap(List::stream)
        .mapToLong(Usage::getTokens)
        .sum();
  }

  private static LogRecord nextRecord(Random random, Oracle oracle, List<LogRecord> log) {
    return switch (random.nextInt(6)) {
      case 0, 1 -> declaration(random, oracle);
      case 2 ->
          LogRecord.newBuilder()
              .setWithdrawal(KeyWithdrawal.newBuilder().addSha256("k" + random.nextInt(9)))
              .build();
      case 3 -> claim(oracle);
      case 4 -> seal(random, oracle);
      default -> log.isEmpty() ? claim(oracle) : duplicate(random, log);
    };
  }

  /** After a lost answer an appender may append its record again, possibly much later. */
  private static LogRecord duplicate(Random random, List<LogRecord> log) {
    LogRecord old = log.get(random.nextInt(log.size()));
    return old.hasClaim() ? LogRecord.getDefaultInstance() : old;
  }

  private static LogRecord declaration(Random random, Oracle oracle) {
    long against = random.nextInt(3) == 0 ? random.nextInt(RECORDS) : oracle.revision;
    return LogRecord.newBuilder()
        .setDeclaration(
            Declaration.newBuilder()
                .setAgainstRevision(against)
                .setUsageWindowMs(1 + random.nextInt(1_000)))
        .build();
  }

  private static LogRecord claim(Oracle oracle) {
    long observed = oracle.epoch == 0 ? 0 : Long.MAX_VALUE;
    return LogRecord.newBuilder()
        .setClaim(
            LeaseClaim.newBuilder().setScope(SCOPE).setHolder("a1#1").setObservedOffset(observed))
        .build();
  }

  private static LogRecord seal(Random random, Oracle oracle) {
    WindowSeal.Builder seal =
        WindowSeal.newBuilder()
            .setScope(SCOPE)
            .setEpoch(random.nextInt(5) == 0 ? 0 : oracle.epoch)
            .setWindow(oracle.lastWindow + random.nextInt(4) - 1);
    for (int i = 0; i < 3; i++) {
      seal.addCounters(
          UsageCounter.newBuilder()
              .setSource("a/s" + i)
              .setAgeMs(random.nextInt(5_000))
              .addUsage(
                  Usage.newBuilder().setOrganisation("tuul").setTokens(random.nextInt(10_000))));
    }
    return LogRecord.newBuilder().setSeal(seal).build();
  }
}
