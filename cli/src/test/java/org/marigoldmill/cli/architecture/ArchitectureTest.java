package org.marigoldmill.cli.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.marigoldmill");

  @Test
  void should_find_the_modules_when_classes_are_read() {
    assertThat(CLASSES.contain("org.marigoldmill.core.lease.LeaseElector")).isTrue();
    assertThat(CLASSES.contain("org.marigoldmill.server.EntryInstance")).isTrue();
  }

  @Test
  void should_have_no_socket_thread_or_clock_when_decisions_are_made() {
    noClasses()
        .that()
        .resideInAPackage("org.marigoldmill.core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net..", "java.nio.channels..", "io.undertow..", "io.grpc..")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Instant.class, "now")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Clock.class)
        .orShould()
        .callMethod(Math.class, "random")
        .check(CLASSES);
  }

  @Test
  void should_depend_on_the_core_only_one_way_when_modules_use_each_other() {
    noClasses()
        .that()
        .resideInAPackage("org.marigoldmill.core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.marigoldmill.server..", "org.marigoldmill.http..", "org.marigoldmill.standin..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("org.marigoldmill.server..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("org.marigoldmill.standin..", "org.marigoldmill.cli..")
        .check(CLASSES);
  }

  @Test
  void should_start_no_process_and_use_no_proxy_when_it_ships() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .areAssignableTo(ProcessBuilder.class)
        .orShould()
        .callMethod(Runtime.class, "exec", String.class)
        .orShould()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.undertow.server.handlers.proxy..", "io.grpc.xds..", "io.grpc.grpclb..")
        .check(CLASSES);
  }

  @Test
  void should_know_the_users_platform_only_in_its_own_module_and_the_command_line() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "org.marigoldmill.core..",
            "org.marigoldmill.http..",
            "org.marigoldmill.server..",
            "org.marigoldmill.standin..",
            "org.marigoldmill.bench..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.marigoldmill.platform..")
        .check(CLASSES);
  }

  @Test
  void should_keep_the_platforms_words_in_its_own_module() throws IOException {
    Pattern words =
        Pattern.compile(
            "X-Attempt-Id|X-Server-Seal|X-Duty-Holder|X-Not-Executed|X-Expect-Instance"
                + "|X-Weight-Versions|/-/lots|/-/order|/-/log-|dead_letter|\\btenant|\\blot(s)?\\b",
            Pattern.CASE_INSENSITIVE);
    Path root = Path.of("").toAbsolutePath().getParent();
    List<String> found = new ArrayList<>();
    for (String module : List.of("core", "http", "server", "cli", "standin", "declare", "bench")) {
      try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main/java"))) {
        for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
          Matcher matcher = words.matcher(Files.readString(file));
          if (matcher.find()) {
            found.add(root.relativize(file) + ": " + matcher.group());
          }
        }
      }
    }
    assertThat(found).isEmpty();
  }
}
