package org.marigoldmill.server.lastbuild;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.server.store.MemoryStore;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Records that the last landed build wrote for the state that a test describes, one text file for
 * each test.
 *
 * <p>With {@code -Dlastbuild.refresh=true} the tests write the files instead of comparing them; see
 * {@code .ci/take-last-build}.
 */
public final class LastBuild {
  private static final Path DIRECTORY =
      Path.of("src", "test", "resources", "org", "marigoldmill", "server", "lastbuild");
  private static final Path DEPLOYMENT = Path.of("..", "deploy", "system.toml");
  private static final boolean REFRESH = Boolean.getBoolean("lastbuild.refresh");
  private static final String COLUMN = "\t";
  private static final String TOMBSTONE = "-";
  private static final String RANDOM_ID = "[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}";

  /** Message types by topic, or by topic and first part of the key. */
  private static final Map<String, String> TYPE_BY_TOPIC =
      Map.ofEntries(
          Map.entry("fleet", "FleetRecord"),
          Map.entry("crashes", "FleetRecord"),
          Map.entry("limits", "LimitReport"),
          Map.entry("instances", "InstanceEntry"),
          Map.entry("duty-lease", "DutyLease"),
          Map.entry("software", "DefaultSoftware"),
          Map.entry("streams", "StreamOrigin"),
          Map.entry("stream-software", "StreamOrigin"),
          Map.entry("engine-orders/need", "NeededEngines"),
          Map.entry("engine-orders/order", "OrderedEngines"),
          Map.entry("submissions/h", "Submission"),
          Map.entry("submissions/c", "ItemChunk"),
          Map.entry("submissions/r", "ItemResult"),
          Map.entry("texts", "TextPart"));

  private LastBuild() {}

  /** Returns the names of the topics whose records are known. */
  static Set<String> topics() {
    return TYPE_BY_TOPIC.keySet().stream()
        .map(t -> t.split("/", -1)[0])
        .collect(Collectors.toSet());
  }

  /**
   * Returns the lines of a file; when refreshing, first replaces them by this build's.
   *
   * @param name name of the file
   * @param written what this build writes
   */
  public static List<String> lines(String name, List<String> written) {
    String mark = "# " + productionCommit();
    if (REFRESH) {
      writeFile(name, Stream.concat(Stream.of(mark), written.stream()).toList());
    }
    List<String> lines = readFile(name);
    assertThat(lines.get(0)).as("build that has written %s", name).isEqualTo(mark);
    return lines.subList(1, lines.size());
  }

  /**
   * Checks that the last landed build reads what this build writes as it would read its own
   * records, and returns a store with its own.
   *
   * @param name name of the file
   * @param written store to which this build has written the state of the file
   */
  public static MemoryStore assertReadAlike(String name, MemoryStore written) {
    List<String> ours = toLines(written);
    List<String> theirs = lines(name, ours);
    assertThat(ours.stream().map(LastBuild::meaning).toList())
        .as("records of %s as the last landed build reads them", name)
        .isEqualTo(theirs.stream().map(LastBuild::meaning).toList());
    MemoryStore store = new MemoryStore();
    theirs.forEach(line -> append(store, line));
    return store;
  }

  private static List<String> toLines(MemoryStore store) {
    List<String> lines = new ArrayList<>();
    store.records().forEach((partition, log) -> log.forEach(r -> lines.add(toLine(partition, r))));
    return lines;
  }

  private static String toLine(MemoryStore.Partition partition, StoredRecord stored) {
    Topic topic = partition.topic();
    return String.join(
        COLUMN,
        topic.name(),
        Boolean.toString(topic.keyed()),
        Integer.toString(partition.number()),
        stored.key(),
        stored.value().map(HexFormat.of()::formatHex).orElse(TOMBSTONE));
  }

  private static void append(MemoryStore store, String line) {
    String[] columns = line.split(COLUMN, -1);
    Topic topic = new Topic(columns[0], Boolean.parseBoolean(columns[1]));
    KeyedRecord appended = new KeyedRecord(columns[3], value(columns[4]));
    store.append(topic, Integer.parseInt(columns[2]), OptionalLong.empty(), List.of(appended));
  }

  /** Returns a line with its value as the last landed build reads it; random ids are masked. */
  private static String meaning(String line) {
    String[] columns = line.split(COLUMN, -1);
    columns[4] =
        value(columns[4]).map(v -> toJson(type(columns[0], columns[3]), v)).orElse(TOMBSTONE);
    return String.join(COLUMN, columns).replaceAll(RANDOM_ID, "RANDOM");
  }

  private static Optional<byte[]> value(String column) {
    return column.equals(TOMBSTONE)
        ? Optional.empty()
        : Optional.of(HexFormat.of().parseHex(column));
  }

  private static String type(String topic, String key) {
    String type = TYPE_BY_TOPIC.get(topic);
    return type != null ? type : TYPE_BY_TOPIC.get(topic + "/" + key.split("/", -1)[0]);
  }

  /** Returns a message as JSON, which leaves out fields that its type does not have. */
  private static String toJson(String type, byte[] value) {
    Descriptor descriptor =
        Schema.lastBuild().stream()
            .map(f -> f.findMessageTypeByName(type))
            .filter(Objects::nonNull)
            .findFirst()
            .orElseThrow();
    try {
      return JsonFormat.printer()
          .omittingInsignificantWhitespace()
          .print(DynamicMessage.parseFrom(descriptor, value));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(type + ": " + e.getMessage(), e);
    }
  }

  /** Returns the commit of the build that runs while instances are replaced by this one. */
  private static String productionCommit() {
    try {
      return new TomlMapper().readTree(DEPLOYMENT.toFile()).get("production").asText();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static List<String> readFile(String name) {
    try {
      return Files.readAllLines(DIRECTORY.resolve(name), UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void writeFile(String name, List<String> lines) {
    try {
      Files.createDirectories(DIRECTORY);
      Files.write(DIRECTORY.resolve(name), lines, UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
