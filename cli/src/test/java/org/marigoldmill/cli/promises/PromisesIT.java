package org.marigoldmill.cli.promises;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.core.cli.Main;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs each scenario of the promise features as one test, against separate processes. */
class PromisesIT {
  private static final String GLUE = "org.marigoldmill.cli.promises";
  private static final String SCENARIO = "  Scenario: ";

  @ParameterizedTest(name = "{0}: {1}")
  @MethodSource("scenarios")
  void should_keep_the_promise(String feature, String scenario, String location) {
    byte status = Main.run("--glue", GLUE, "--plugin", "summary", location);
    assertThat(status).as("%s: %s", feature, scenario).isZero();
  }

  static Stream<Arguments> scenarios() throws IOException, URISyntaxException {
    Path folder = Path.of(PromisesIT.class.getResource("01-true-versions.feature").toURI());
    try (Stream<Path> files = Files.list(folder.getParent())) {
      return files.filter(f -> f.toString().endsWith(".feature")).sorted().toList().stream()
          .flatMap(PromisesIT::scenariosOf);
    }
  }

  private static Stream<Arguments> scenariosOf(Path file) {
    List<String> lines = lines(file);
    String feature = file.getFileName().toString().replace(".feature", "");
    return IntStream.range(0, lines.size())
        .filter(i -> lines.get(i).startsWith(SCENARIO))
        .mapToObj(
            i ->
                Arguments.of(
                    feature, lines.get(i).substring(SCENARIO.length()), file + ":" + (i + 1)));
  }

  private static List<String> lines(Path file) {
    try {
      return Files.readAllLines(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
