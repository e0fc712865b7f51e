package org.marigoldmill.cli.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.marigoldmill");

  @Test
  void should_find_the_modules_when_classes_are_read() {
    assertThat(CLASSES.contain("org.marigoldmill.core.lease.LeaseKeeper")).isTrue();
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
}
