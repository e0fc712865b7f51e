package org.marigoldmill.cli.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process that a test has started and can signal, kill and restart. */
public final class SpawnedProcess {
  private static final long EXIT_WAIT_SECONDS = 40;

  private final String name;
  private volatile List<String> command;
  private final Path directory;
  private final String javaOptions;
  private volatile Process process;

  SpawnedProcess(String name, Path directory, String javaOptions, List<String> command) {
    this.name = name;
    this.directory = directory;
    this.javaOptions = javaOptions;
    this.command = command;
    start();
  }

  public String name() {
    return name;
  }

  public long pid() {
    return process.pid();
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGKILL and waits until the process has exited. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Suspends the process by SIGSTOP. */
  public void freeze() {
    signal("-STOP");
  }

  /** Resumes a suspended process by SIGCONT. */
  public void resume() {
    signal("-CONT");
  }

  /** Requests a graceful shutdown by SIGTERM. */
  public void terminate() {
    signal("-TERM");
  }

  /** Sends SIGHUP, on which the process reads its settings again. */
  public void sendHangUp() {
    signal("-HUP");
  }

  /** Starts the command again; the output is appended to that of earlier runs. */
  public void restart() {
    start();
  }

  /** Sets the command that {@link #restart} starts from now on. */
  void setCommand(List<String> next) {
    command = next;
  }

  /** Returns whether the process exits within 40 s. */
  public boolean awaitExit() {
    return awaitExit(TimeUnit.SECONDS.toMillis(EXIT_WAIT_SECONDS));
  }

  /** Returns whether the process exits within a time in milliseconds. */
  public boolean awaitExit(long millis) {
    try {
      return process.waitFor(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  public int exitCode() {
    return process.exitValue();
  }

  /** Returns the standard output and standard error of all runs. */
  public String output() {
    try {
      return Files.readString(log().toPath());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void start() {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("MARIGOLDMILL_JAVA_OPTIONS", javaOptions);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
    try {
      process = builder.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private File log() {
    return directory.resolve(name + ".log").toFile();
  }

  private void signal(String signal) {
    if (!process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
