package org.marigoldmill.server.lastbuild;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class SchemaTest {
  private static final Pattern TOPIC = Pattern.compile("new Topic\\(\\s*\"([^\"]+)\"");

  @Test
  void should_contain_all_that_the_last_landed_build_relies_on() {
    assertThat(Schema.promises(Schema.thisBuild()))
        .as("a field, value, method or reserved number is missing or has changed")
        .containsAll(Schema.promises(Schema.lastBuild()));
  }

  @Test
  void should_be_known_for_every_topic_that_instances_write() throws IOException {
    List<String> topics;
    try (Stream<Path> sources = Files.walk(Path.of("src", "main", "java"))) {
      topics =
          sources
              .filter(p -> p.toString().endsWith(".java"))
              .map(SchemaTest::read)
              .flatMap(source -> TOPIC.matcher(source).results())
              .map(m -> m.group(1))
              .toList();
    }
    assertThat(topics).containsExactlyInAnyOrderElementsOf(LastBuild.topics());
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
