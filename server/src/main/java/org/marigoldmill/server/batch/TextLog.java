package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.marigoldmill.core.submission.CheckpointPolicy;
import org.marigoldmill.core.submission.GeneratedText;
import org.marigoldmill.core.submission.KeptTexts;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.submission.TextPartKey;
import org.marigoldmill.core.submission.TextParts;
import org.marigoldmill.core.submission.TextSnapshot;
import org.marigoldmill.schema.submission.TextPart;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.StoreUnavailableException;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Unfinished texts of items: kept in memory for the next step, and stored for another owner.
 *
 * <p>The owner of a model stores what is new of its long texts in parts, each once, in the
 * partition of the model. An instance that gets the partition reads them before it starts items of
 * the model. Losing a part costs only the time to generate it again.
 */
public final class TextLog {
  /** Topic that stores the parts. */
  public static final Topic TOPIC = new Topic("texts", true);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time that items of a model wait at most for its texts to be read, in milliseconds. */
  private static final long MAX_LOAD_WAIT_MS = 700;

  /** Part of a call or a record that is left for keys and lengths. */
  private static final double FILL = 0.75;

  /** What is stored of one text. */
  private static final class Stored {
    private final int partition;
    private final Set<String> keys = new HashSet<>();
    private Optional<GeneratedText> text = Optional.empty();
    private String writer = "";
    private int restarts;
    private int parts;
    private int characters;
    private long events;
    private boolean complete;

    private Stored(int partition) {
      this.partition = partition;
    }

    /** Returns whether what is stored is the beginning of a text. */
    private boolean holds(GeneratedText written, int restartsOfWritten) {
      return text.filter(t -> t == written).isPresent() && restarts == restartsOfWritten;
    }
  }

  /** A part to store, or a key to delete, and what to do once that is done. */
  private record Pending(KeyedRecord change, Runnable onStored) {
    private int bytes() {
      return change.key().length() + change.value().map(v -> v.length).orElse(0);
    }
  }

  private record Load(CompletableFuture<Void> done, long sinceMs) {}

  private final LogStore store;
  private final String process;
  private final ToIntFunction<String> partitionOfModel;
  private final long maxPartBytes;
  private final long maxCallBytes;
  private final long formerOwnerStopMs;
  private final Executor executor;
  private final Clock clock;
  private final KeptTexts kept = new KeptTexts();
  private final Map<String, Stored> stored = new HashMap<>();
  private final Map<Integer, Load> loads = new HashMap<>();
  private int writings;

  /**
   * Creates a log without texts.
   *
   * @param process id of this process, unique to its run
   * @param partitionOfModel returns the partition in which the texts of a model are stored
   * @param recordBytes largest record of the store
   * @param callBytes largest append of the store
   * @param formerOwnerStopMs time within which the former owner of a partition, if it is still
   *     running, has ended its runs
   * @param executor reads the texts of a partition
   */
  public TextLog(
      LogStore store,
      String process,
      ToIntFunction<String> partitionOfModel,
      long recordBytes,
      long callBytes,
      long formerOwnerStopMs,
      Executor executor,
      Clock clock) {
    this.store = store;
    this.process = process;
    this.partitionOfModel = partitionOfModel;
    this.maxPartBytes = (long) (FILL * Math.min(recordBytes, callBytes));
    this.maxCallBytes = (long) (FILL * callBytes);
    this.formerOwnerStopMs = formerOwnerStopMs;
    this.executor = executor;
    this.clock = clock;
  }

  /** Begins to read the texts of models that this instance has got; forgets which it had. */
  synchronized void follow(Collection<String> ownedModels) {
    Set<Integer> owned =
        ownedModels.stream().map(partitionOfModel::applyAsInt).collect(Collectors.toSet());
    loads.keySet().retainAll(owned);
    owned.forEach(p -> loads.computeIfAbsent(p, this::startLoad));
  }

  private Load startLoad(int partition) {
    CompletableFuture<Void> done;
    try {
      done = CompletableFuture.runAsync(() -> load(partition), executor);
    } catch (RejectedExecutionException e) {
      logger.atWarning().log("texts not read partition=%d cause=no thread", partition);
      done = CompletableFuture.completedFuture(null);
    }
    return new Load(done, clock.now());
  }

  private void load(int partition) {
    long startedAtMs = clock.now();
    try {
      List<StoredRecord> records = store.readLatest(TOPIC, partition).records();
      Map<String, TextSnapshot> texts = addLoaded(partition, records);
      logger.atInfo().log(
          "texts read partition=%d parts=%d texts=%d ms=%d",
          partition, records.size(), texts.size(), clock.now() - startedAtMs);
    } catch (StoreUnavailableException e) {
      logger.atInfo().log("texts not read partition=%d cause=%s", partition, e.getMessage());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("texts not read partition=%d", partition);
    }
  }

  private synchronized Map<String, TextSnapshot> addLoaded(
      int partition, List<StoredRecord> records) {
    TextParts parts = new TextParts();
    for (StoredRecord read : records) {
      Optional<TextPartKey> key = TextPartKey.parse(read.key());
      if (key.isEmpty() || read.value().isEmpty()) {
        logger.atWarning().log("part of a text skipped partition=%d key=%s", partition, read.key());
        continue;
      }
      try {
        parts.add(key.get(), TextPart.parseFrom(read.value().get()));
        stored.computeIfAbsent(key.get().digest(), d -> new Stored(partition)).keys.add(read.key());
      } catch (InvalidProtocolBufferException e) {
        logger.atWarning().log(
            "part of a text skipped partition=%d key=%s cause=%s",
            partition, read.key(), e.getMessage());
      }
    }
    Map<String, TextSnapshot> texts = parts.texts();
    texts.forEach((digest, text) -> kept.keep(digest, text, clock.now()));
    return texts;
  }

  /** Keeps the text of an item that is not generated here any longer, though it is unfinished. */
  void keep(ItemTask task) {
    task.text()
        .snapshot(task.engineService())
        .ifPresent(t -> kept.keep(task.digest(), t, clock.now()));
  }

  /**
   * Lets an item that has not been started go on from the text that is kept of it, if any.
   *
   * @return false if the item should wait, because a text of it may still be read or is still
   *     generated by the former owner
   */
  synchronized boolean prepare(ItemTask task) {
    if (task.attempts() > 0 || task.generatedEvents() > 0 || task.finishedText().isPresent()) {
      return true;
    }
    long now = clock.now();
    Load load = loads.get(partitionOfModel.applyAsInt(task.submission().getModel()));
    if (load != null && !load.done().isDone() && now - load.sinceMs() < MAX_LOAD_WAIT_MS) {
      return false;
    }
    if (!kept.contains(task.digest(), now)) {
      return true;
    }
    if (load != null && now - load.sinceMs() < formerOwnerStopMs) {
      return false;
    }
    kept.take(
            task.digest(),
            task.submission().getMinVersion(),
            task.submission().getSingleVersion(),
            now)
        .ifPresentOrElse(t -> resume(task, t, now), () -> logStale(task));
    return true;
  }

  private static void resume(ItemTask task, TextSnapshot text, long nowMs) {
    logger.atInfo().log(
        "item resumed id=%s submission=%s step=%d events=%d versions=%s",
        task.item().getId(),
        task.submission().getId(),
        task.submission().getStep(),
        text.lastEventId(),
        text.versions());
    task.resume(text, nowMs);
  }

  private static void logStale(ItemTask task) {
    logger.atInfo().log(
        "item begun anew id=%s submission=%s step=%d min_version=%d cause=versions of its text",
        task.item().getId(),
        task.submission().getId(),
        task.submission().getStep(),
        task.submission().getMinVersion());
  }

  /**
   * Stores what is new of long texts, and deletes texts that nobody will continue; meant to be
   * called periodically.
   *
   * @param unfinished all unfinished items of this instance
   */
  void storeDue(Collection<ItemTask> unfinished) {
    Map<Integer, List<Pending>> due = new HashMap<>();
    synchronized (this) {
      Map<String, ItemTask> tasks =
          unfinished.stream()
              .collect(Collectors.toMap(ItemTask::digest, Function.identity(), (a, b) -> a));
      tasks.values().forEach(t -> addNewPart(t, due));
      addDeletions(tasks.keySet(), due);
    }
    due.forEach(this::append);
  }

  private void addNewPart(ItemTask task, Map<Integer, List<Pending>> due) {
    GeneratedText source = task.text();
    TextSnapshot text;
    int restarts;
    boolean continued;
    synchronized (source) {
      restarts = source.restarts();
      Stored known = stored.get(task.digest());
      continued = known != null && known.holds(source, restarts);
      if (!isDue(source, continued ? Optional.of(known) : Optional.empty())) {
        return;
      }
      text = source.snapshot(task.engineService()).orElseThrow();
    }
    int partition = partitionOfModel.applyAsInt(task.submission().getModel());
    Stored state = stored.computeIfAbsent(task.digest(), d -> new Stored(partition));
    final List<String> outdatedKeys = continued ? List.of() : List.copyOf(state.keys);
    if (!continued) {
      state.text = Optional.of(source);
      state.writer = process + "." + writings++;
      state.restarts = restarts;
      state.parts = 0;
      state.characters = 0;
      state.events = 0;
      state.complete = false;
    }
    TextPart part =
        TextPart.newBuilder()
            .setText(text.text().substring(state.characters))
            .setStart(state.characters)
            .setLastEvent(text.lastEventId())
            .addAllVersions(text.versions())
            .setSoftwareVersion(text.softwareVersion())
            .setService(text.service())
            .setComplete(text.complete())
            .build();
    if (part.getSerializedSize() > maxPartBytes) {
      return;
    }
    String key = new TextPartKey(task.digest(), state.writer, state.parts).text();
    // Also deleted if the append has no answer.
    state.keys.add(key);
    List<Pending> records = due.computeIfAbsent(state.partition, p -> new ArrayList<>());
    records.add(
        new Pending(
            new KeyedRecord(key, Optional.of(part.toByteArray())),
            () -> {
              state.parts++;
              state.characters = text.text().length();
              state.events = text.lastEventId();
              state.complete = text.complete();
            }));
    outdatedKeys.forEach(k -> records.add(deletion(task.digest(), state, k)));
  }

  private static boolean isDue(GeneratedText text, Optional<Stored> known) {
    long storedEvents = known.map(s -> s.events).orElse(0L);
    boolean justCompleted =
        text.complete() && known.filter(s -> s.parts > 0 && !s.complete).isPresent();
    return justCompleted || CheckpointPolicy.due(text.lastEventId().orElse(0), storedEvents);
  }

  private void addDeletions(Set<String> unfinished, Map<Integer, List<Pending>> due) {
    long now = clock.now();
    stored.forEach(
        (digest, state) -> {
          if (!unfinished.contains(digest) && !kept.contains(digest, now)) {
            List<Pending> records = due.computeIfAbsent(state.partition, p -> new ArrayList<>());
            state.keys.forEach(k -> records.add(deletion(digest, state, k)));
          }
        });
  }

  private Pending deletion(String digest, Stored state, String key) {
    return new Pending(
        new KeyedRecord(key, Optional.empty()),
        () -> {
          state.keys.remove(key);
          if (state.keys.isEmpty()) {
            stored.remove(digest);
          }
        });
  }

  /** Appends as many records at a time as a call may have. */
  private void append(int partition, List<Pending> records) {
    List<Pending> call = new ArrayList<>();
    long bytes = 0;
    for (Pending pending : records) {
      if (!call.isEmpty() && bytes + pending.bytes() > maxCallBytes) {
        appendCall(partition, call);
        call = new ArrayList<>();
        bytes = 0;
      }
      call.add(pending);
      bytes += pending.bytes();
    }
    appendCall(partition, call);
  }

  private void appendCall(int partition, List<Pending> call) {
    List<KeyedRecord> records = call.stream().map(Pending::change).toList();
    LogStore.AppendOutcome outcome =
        store.append(TOPIC, partition, OptionalLong.empty(), records).outcome();
    if (outcome != LogStore.AppendOutcome.STORED) {
      logger.atInfo().log(
          "texts not stored partition=%d records=%d outcome=%s",
          partition, records.size(), outcome);
      return;
    }
    synchronized (this) {
      call.forEach(p -> p.onStored().run());
    }
  }
}
