package org.marigoldmill.core.error;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ErrorPageTest {
  private static final Path PAGE = Path.of("..", "docs", "ERRORS.md");

  @Test
  void should_list_all_error_kinds_on_the_page() throws IOException {
    // GIVEN
    List<String> expected =
        Arrays.stream(ErrorKind.values()).map(ErrorPageTest::row).sorted().toList();
    // WHEN
    List<String> rows =
        Files.readAllLines(PAGE).stream()
            .filter(l -> l.startsWith("| ") && !l.startsWith("| error") && !l.startsWith("| ---"))
            .sorted()
            .toList();
    // THEN
    assertThat(rows).isEqualTo(expected);
  }

  private static String row(ErrorKind kind) {
    return "| %s | %d | %s | %s | %s |"
        .formatted(
            kind.code(),
            kind.status(),
            kind.retryable() ? "yes" : "no",
            kind.execution().label(),
            kind.summary());
  }
}
